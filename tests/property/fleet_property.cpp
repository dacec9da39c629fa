// Configuration versions, membership, shutdown, correlation of replies, and
// encoding of messages and call contexts.
#include "prop.hpp"

#include <algorithm>
#include <map>
#include <vector>

#include "lav/correlation.h"
#include "lav/call_context.h"
#include "lav/swim.h"
#include "lav/msg.h"
#include "lav/shutdown.h"
#include "lav/config_version.h"

namespace {

void
check_versions()
{
    config_version_state v{};
    uint64_t highest = 0;
    for (int i = 0; i < 60; i++) {
        uint64_t version = (uint64_t)pick(0, 40);
        if (pick(0, 1)) {
            bool newer = config_version_note(&v, version);
            RC_ASSERT(newer == (version > highest));
        }
        else {
            bool applied = config_version_apply(&v, version);
            RC_ASSERT(applied == (version > highest));
            highest = std::max(highest, version);
        }
        RC_ASSERT(v.active_version == highest);
        RC_ASSERT(config_version_is_behind(&v) == (v.heard > highest));
    }
}

swim_member
make_member(const char *name, uint64_t incarnation, uint32_t sequence,
            enum swim_state state)
{
    swim_member entry{};
    std::snprintf(entry.name, sizeof(entry.name), "%s", name);
    entry.incarnation = incarnation;
    entry.sequence = sequence;
    entry.state = state;
    return entry;
}

// Whatever outdated news is repeated, a member that is leaving or dead does
// not become ready again until it announces that itself with a later
// incarnation.
void
check_leaving()
{
    swim_list *members = nullptr;
    swim_member self = make_member("self", 1, 0, SWIM_READY);
    RC_ASSERT(swim_new(&members, &self) == 0);
    std::vector<swim_member> old;
    for (uint32_t i = 0; i < 5; i++) {
        old.push_back(make_member("other", 10, i, SWIM_READY));
    }
    swim_member leaving = make_member("other", 10, 5, SWIM_LEAVING);
    RC_ASSERT(swim_merge(members, &leaving, 1));
    for (int i = 0; i < 30; i++) {
        swim_member news = old[(size_t)pick(0, 4)];
        if (pick(0, 3) == 0) {
            news.state = SWIM_SUSPECT;
        }
        RC_ASSERT(!swim_merge(members, &news, i));
        RC_ASSERT(swim_get(members, 1)->state == SWIM_LEAVING);
    }
    swim_mark_suspect(members, "other", 10, 40);
    RC_ASSERT(swim_get(members, 1)->state == SWIM_DEAD);
    swim_member again = make_member("other", 11, 0, SWIM_READY);
    RC_ASSERT(swim_merge(members, &again, 50));
    swim_free(members);
}

// A suspected node can refute the suspicion.
void
check_refutation()
{
    swim_list *accused = nullptr;
    swim_list *accuser = nullptr;
    swim_member a = make_member("a", 1, 3, SWIM_READY);
    swim_member b = make_member("b", 1, 0, SWIM_READY);
    RC_ASSERT(swim_new(&accused, &a) == 0);
    RC_ASSERT(swim_new(&accuser, &b) == 0);
    swim_merge(accuser, &a, 0);
    swim_mark_suspect(accuser, "a", 1, 10);
    if (pick(0, 1)) {
        swim_tick(accuser, 10 + SWIM_SUSPECT_TIMEOUT_US);
    }
    swim_member accusation{};
    RC_ASSERT(swim_get_suspicion(&accusation, accuser, "a"));
    swim_merge(accused, &accusation, 20);
    RC_ASSERT(swim_merge(accuser, swim_self(accused), 30));
    RC_ASSERT(swim_get(accuser, 1)->state == SWIM_READY);
    swim_free(accused);
    swim_free(accuser);
}

void
check_shutdown()
{
    shutdown_state stop;
    int64_t linger_us = pick(0, 5000);
    int64_t now_us = 100;
    shutdown_init(&stop, linger_us);
    RC_ASSERT(shutdown_advance(&stop, 0, 100) == SHUTDOWN_RUNNING);
    shutdown_begin(&stop, 100);
    for (int i = 0; i < 100; i++) {
        now_us += pick(1, 100);
        int in_flight = pick(0, 2);
        enum shutdown_phase phase = shutdown_advance(&stop, in_flight, now_us);
        shutdown_begin(&stop, now_us); // idempotent
        if (phase == SHUTDOWN_STOPPED) {
            RC_ASSERT(in_flight == 0);
            RC_ASSERT(now_us - 100 >= linger_us);
            return;
        }
    }
}

void
check_correlation()
{
    correlation_table *table = nullptr;
    RC_ASSERT(correlation_new(&table, 16) == 0);
    std::map<uint64_t, int> expected; // nonce -> call
    for (int i = 0; i < 200; i++) {
        uint64_t nonce = (uint64_t)pick(1, 40);
        int call = pick(0, 5);
        int attempt = 0;
        switch (pick(0, 3)) {
        case 0:
            if (correlation_add(table, nonce, call, i) == 0) {
                RC_ASSERT(expected.emplace(nonce, call).second);
                RC_ASSERT(expected.size() <= 16u);
            }
            break;
        case 1:
            correlation_remove(table, nonce);
            expected.erase(nonce);
            break;
        case 2:
            correlation_remove_call(table, call);
            for (auto at = expected.begin(); at != expected.end();) {
                at = at->second == call ? expected.erase(at) : ++at;
            }
            break;
        default: {
            int found = correlation_find(&attempt, table, nonce);
            int expected_call =
                expected.count(nonce) ? expected[nonce] : CORRELATION_NONE;
            RC_ASSERT(found == expected_call);
        }
        }
    }
    RC_ASSERT(correlation_count(table) == expected.size());
    correlation_free(table);
}

msg
random_call(std::string &body)
{
    msg m{};
    m.kind = MSG_CALL;
    m.call.nonce = *rc::gen::arbitrary<uint64_t>();
    std::snprintf(m.call.request, ID_SIZE, "18f-%08x", pick(0, 1 << 30));
    std::snprintf(m.call.service, SVC_NAME_SIZE, "ordering");
    m.call.klass = pick(0, SVC_CLASS_COUNT - 1);
    m.call.time_left_us = pick(0, 1 << 30);
    m.call.first = pick(0, 1) == 1;
    body = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    m.call.body.bytes = body.data();
    m.call.body.length = body.size();
    return m;
}

void
check_round_trip()
{
    std::string body;
    msg sent = random_call(body);
    msg got;
    char *bytes = nullptr;
    size_t length = 0;
    RC_ASSERT(msg_encode(&bytes, &length, &sent) == 0);
    RC_ASSERT(msg_decode(&got, bytes, length, nullptr) == 0);
    RC_ASSERT(got.call.nonce == sent.call.nonce);
    RC_ASSERT(got.call.time_left_us == sent.call.time_left_us);
    RC_ASSERT(got.call.first == sent.call.first);
    RC_ASSERT(std::string(got.call.body.bytes, got.call.body.length) == body);
    msg_clear(&got);
    // A truncated message is rejected.
    if (length > 1) {
        size_t cut = (size_t)pick(1, (int)length - 1);
        RC_ASSERT(msg_decode(&got, bytes, cut, nullptr) < 0);
    }
    // A flipped bit: rejected or decoded, without memory errors.
    bytes[pick(0, (int)length - 1)] ^= (char)(1 << pick(0, 7));
    if (msg_decode(&got, bytes, length, nullptr) == 0) {
        msg_clear(&got);
    }
    free(bytes);
}

void
check_any_bytes()
{
    std::string bytes =
        *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    msg got;
    call_context context;
    id request;
    if (msg_decode(&got, bytes.data(), bytes.size(), nullptr) == 0) {
        msg_clear(&got);
    }
    (void)call_context_parse(&context, bytes.c_str());
    (void)id_parse(&request, bytes.c_str());
}

void
check_context_round_trip()
{
    call_context sent{};
    call_context got{};
    char text[CALL_CONTEXT_TEXT_SIZE];
    id_generate(&sent.root, pick(1, 1 << 30));
    sent.klass = pick(0, SVC_CLASS_COUNT - 1);
    sent.depth = pick(0, 64);
    sent.time_left_us = pick(0, 1 << 30);
    sent.budget = pick(0, 64);
    sent.token = *rc::gen::arbitrary<uint64_t>();
    sent.first = pick(0, 1) == 1;
    call_context_format(text, &sent);
    RC_ASSERT(call_context_parse(&got, text) == 0);
    RC_ASSERT(std::string(got.root.text) == sent.root.text);
    RC_ASSERT(got.token == sent.token);
    RC_ASSERT(got.first == sent.first);
    RC_ASSERT(got.time_left_us == sent.time_left_us);
}

} // namespace

int
main()
{
    prop_runner runner;
    runner.check("versions only increase", check_versions);
    runner.check("a leaving member gets no new work", check_leaving);
    runner.check("a suspect can refute", check_refutation);
    runner.check("a shutdown waits for calls in flight", check_shutdown);
    runner.check("a reply is matched to its own call only", check_correlation);
    runner.check("messages round-trip unchanged", check_round_trip);
    runner.check("any bytes are rejected or decoded", check_any_bytes);
    runner.check("call contexts round-trip unchanged",
                 check_context_round_trip);
    return runner.finish();
}
