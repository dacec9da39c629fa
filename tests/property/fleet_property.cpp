// Configuration, membership, stopping, answers and messages.
#include "prop.hpp"

#include <algorithm>
#include <map>
#include <vector>

#include "lav/ans.h"
#include "lav/ctx.h"
#include "lav/mbr.h"
#include "lav/msg.h"
#include "lav/stp.h"
#include "lav/ver.h"

namespace
{

void
check_versions()
{
    ver v{};
    uint64_t highest = 0;
    for (int i = 0; i < 60; i++) {
        uint64_t version = (uint64_t)pick(0, 40);
        if (pick(0, 1)) {
            bool newer = ver_hear(&v, version);
            RC_ASSERT(newer == (version > highest));
        }
        else {
            bool applied = ver_apply(&v, version);
            RC_ASSERT(applied == (version > highest));
            highest = std::max(highest, version);
        }
        RC_ASSERT(v.in_force == highest);
        RC_ASSERT(ver_behind(&v) == (v.heard > highest));
    }
}

mbr_entry
entry_of(const char *name, uint64_t incarnation, uint32_t sequence,
         enum mbr_state state)
{
    mbr_entry entry{};
    std::snprintf(entry.name, sizeof(entry.name), "%s", name);
    entry.incarnation = incarnation;
    entry.sequence = sequence;
    entry.state = state;
    return entry;
}

// Whatever old news is told again, a member that leaves, or has gone, is not
// taken for ready until it says so itself, later.
void
check_leaving()
{
    mbr *view = nullptr;
    mbr_entry self = entry_of("self", 1, 0, MBR_READY);
    RC_ASSERT(mbr_new(&view, &self) == 0);
    std::vector<mbr_entry> old;
    for (uint32_t i = 0; i < 5; i++) {
        old.push_back(entry_of("other", 10, i, MBR_READY));
    }
    mbr_entry leaving = entry_of("other", 10, 5, MBR_LEAVING);
    RC_ASSERT(mbr_merge(view, &leaving, 1));
    for (int i = 0; i < 30; i++) {
        mbr_entry news = old[(size_t)pick(0, 4)];
        if (pick(0, 3) == 0) {
            news.state = MBR_SUSPECT;
        }
        RC_ASSERT(!mbr_merge(view, &news, i));
        RC_ASSERT(mbr_get(view, 1)->state == MBR_LEAVING);
    }
    mbr_probe_failed(view, "other", 10, 40);
    RC_ASSERT(mbr_get(view, 1)->state == MBR_DEAD);
    mbr_entry again = entry_of("other", 11, 0, MBR_READY);
    RC_ASSERT(mbr_merge(view, &again, 50));
    mbr_free(view);
}

// A node that is suspected denies it and is believed.
void
check_refutation()
{
    mbr *accused = nullptr;
    mbr *accuser = nullptr;
    mbr_entry a = entry_of("a", 1, 3, MBR_READY);
    mbr_entry b = entry_of("b", 1, 0, MBR_READY);
    RC_ASSERT(mbr_new(&accused, &a) == 0);
    RC_ASSERT(mbr_new(&accuser, &b) == 0);
    mbr_merge(accuser, &a, 0);
    mbr_probe_failed(accuser, "a", 1, 10);
    if (pick(0, 1)) {
        mbr_tick(accuser, 10 + MBR_SUSPECT_US);
    }
    mbr_entry told{};
    RC_ASSERT(mbr_news_of_accused(&told, accuser, "a"));
    mbr_merge(accused, &told, 20);
    RC_ASSERT(mbr_merge(accuser, mbr_self(accused), 30));
    RC_ASSERT(mbr_get(accuser, 1)->state == MBR_READY);
    mbr_free(accused);
    mbr_free(accuser);
}

void
check_stopping()
{
    stp stop;
    int64_t linger_us = pick(0, 5000);
    int64_t now_us = 100;
    stp_init(&stop, linger_us);
    RC_ASSERT(stp_step(&stop, 0, 100) == STP_RUNNING);
    stp_request(&stop, 100);
    for (int i = 0; i < 100; i++) {
        now_us += pick(1, 100);
        int in_flight = pick(0, 2);
        enum stp_phase phase = stp_step(&stop, in_flight, now_us);
        stp_request(&stop, now_us); // asking again changes nothing
        if (phase == STP_STOPPED) {
            RC_ASSERT(in_flight == 0);
            RC_ASSERT(now_us - 100 >= linger_us);
            return;
        }
    }
}

void
check_answers()
{
    ans *table = nullptr;
    RC_ASSERT(ans_new(&table, 16) == 0);
    std::map<uint64_t, int> expected; // nonce -> call
    for (int i = 0; i < 200; i++) {
        uint64_t nonce = (uint64_t)pick(1, 40);
        int call = pick(0, 5);
        int attempt = 0;
        switch (pick(0, 3)) {
        case 0:
            if (ans_expect(table, nonce, call, i) == 0) {
                RC_ASSERT(expected.emplace(nonce, call).second);
                RC_ASSERT(expected.size() <= 16u);
            }
            break;
        case 1:
            ans_forget(table, nonce);
            expected.erase(nonce);
            break;
        case 2:
            ans_forget_call(table, call);
            for (auto at = expected.begin(); at != expected.end();) {
                at = at->second == call ? expected.erase(at) : ++at;
            }
            break;
        default: {
            int found = ans_match(&attempt, table, nonce);
            int wanted = expected.count(nonce) ? expected[nonce] : ANS_NONE;
            RC_ASSERT(found == wanted);
        }
        }
    }
    RC_ASSERT(ans_count(table) == expected.size());
    ans_free(table);
}

msg
any_call(std::string &body)
{
    msg m{};
    m.kind = MSG_CALL;
    m.call.nonce = *rc::gen::arbitrary<uint64_t>();
    std::snprintf(m.call.request, ID_SIZE, "18f-%08x", pick(0, 1 << 30));
    std::snprintf(m.call.service, SVC_NAME_SIZE, "ordering");
    m.call.klass = pick(0, SVC_CLASS_COUNT - 1);
    m.call.left_us = pick(0, 1 << 30);
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
    msg sent = any_call(body);
    msg got;
    char *bytes = nullptr;
    size_t length = 0;
    RC_ASSERT(msg_encode(&bytes, &length, &sent) == 0);
    RC_ASSERT(msg_decode(&got, bytes, length, nullptr) == 0);
    RC_ASSERT(got.call.nonce == sent.call.nonce);
    RC_ASSERT(got.call.left_us == sent.call.left_us);
    RC_ASSERT(got.call.first == sent.call.first);
    RC_ASSERT(std::string(got.call.body.bytes, got.call.body.length) == body);
    msg_clear(&got);
    // Cut off anywhere, it is refused whole.
    if (length > 1) {
        size_t cut = (size_t)pick(1, (int)length - 1);
        RC_ASSERT(msg_decode(&got, bytes, cut, nullptr) < 0);
    }
    // A byte changed: refused or understood, but nothing worse.
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
    ctx context;
    id request;
    if (msg_decode(&got, bytes.data(), bytes.size(), nullptr) == 0) {
        msg_clear(&got);
    }
    (void)ctx_parse(&context, bytes.c_str());
    (void)id_parse(&request, bytes.c_str());
}

void
check_context_round_trip()
{
    ctx sent{};
    ctx got{};
    char text[CTX_TEXT_SIZE];
    id_mint(&sent.root, pick(1, 1 << 30));
    sent.klass = pick(0, SVC_CLASS_COUNT - 1);
    sent.depth = pick(0, 64);
    sent.left_us = pick(0, 1 << 30);
    sent.budget = pick(0, 64);
    sent.token = *rc::gen::arbitrary<uint64_t>();
    sent.first = pick(0, 1) == 1;
    ctx_format(text, &sent);
    RC_ASSERT(ctx_parse(&got, text) == 0);
    RC_ASSERT(std::string(got.root.text) == sent.root.text);
    RC_ASSERT(got.token == sent.token);
    RC_ASSERT(got.first == sent.first);
    RC_ASSERT(got.left_us == sent.left_us);
}

} // namespace

int
main()
{
    prop_tally tally;
    tally.check("versions only rise", check_versions);
    tally.check("a member that leaves gets no new work", check_leaving);
    tally.check("a suspect can refute", check_refutation);
    tally.check("a stop waits for what is in flight", check_stopping);
    tally.check("an answer goes to its own call only", check_answers);
    tally.check("messages survive a round trip, whole", check_round_trip);
    tally.check("any bytes are refused or understood", check_any_bytes);
    tally.check("contexts survive a round trip", check_context_round_trip);
    return tally.finish();
}
