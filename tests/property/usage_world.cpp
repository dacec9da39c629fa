#include "usage_world.hpp"

#include <algorithm>

#include "prop.hpp"

namespace usage_world {

static const workspace *
find_cap(uint32_t id, void *payload)
{
    auto *w = static_cast<world *>(payload);
    return id - 1 < w->caps.size() ? &w->caps[id - 1] : nullptr;
}

int64_t
node_now(const node &n)
{
    return n.w->now_us + n.offset_us;
}

static uint64_t
member_id(int index)
{
    return 0x9e3779b97f4a7c15ULL * (uint64_t)(index + 1);
}

void
start_node(node &n)
{
    usage_share_free(n.share);
    usage_owner_free(n.owner);
    n.share = nullptr;
    n.owner = nullptr;
    n.start++;
    n.offset_us = (int64_t)n.w->below(1000000) * MS;
    uint64_t sequence = n.start << 32U;
    RC_ASSERT(usage_share_new(&n.share, member_id(n.index), sequence,
                              node_now(n)) == 0);
    RC_ASSERT(usage_owner_new(&n.owner, n.w->random() | 1U, find_cap, n.w) ==
              0);
    n.calls.clear();
    n.parked.clear();
    n.inbox.clear();
    n.up = true;
    n.has_list = false;
    n.frozen_until_us = 0;
    n.starts_us = 0;
    n.members_from_us = n.w->now_us + n.w->below(n.w->list_late_ms) * MS;
}

void
add_nodes(world &w, int count)
{
    w.nodes.resize((size_t)count);
    w.part.assign((size_t)count, 0);
    for (int i = 0; i < count; i++) {
        w.nodes[(size_t)i].w = &w;
        w.nodes[(size_t)i].index = i;
        start_node(w.nodes[(size_t)i]);
    }
    w.unreachable.assign((size_t)count, std::vector<bool>((size_t)count));
}

void
add_cap(world &w, double rate, double burst)
{
    workspace entry{};
    entry.id = (uint32_t)w.caps.size() + 1;
    entry.rate_per_s = rate;
    entry.burst = burst;
    w.caps.push_back(entry);
    w.bounds.emplace_back();
    w.bounds.back().emplace_back(w.now_us, 0);
    w.begun.emplace_back();
    w.total_begun.push_back(0);
    w.total_over.push_back(0);
    w.total_unchecked.push_back(0);
}

// The bound that the modules promise; it lies below the users' one.
static double
cap_bound(const workspace &entry)
{
    double promised =
        entry.rate_per_s * (double)(WINDOW_US + AHEAD_US) / CLOCK_US_PER_S +
        entry.burst + USAGE_CAP_SLACK;
    double allowed =
        (entry.rate_per_s * (double)WINDOW_US / CLOCK_US_PER_S + entry.burst) *
            1.1 +
        20;
    RC_ASSERT(promised <= allowed);
    return promised;
}

// No part of a cap is lent to two owners at a time.
void
check_lent_once(world &w)
{
    for (int slot = 0; slot < USAGE_CAP_SLOTS; slot++) {
        double sum = 0;
        for (node &n : w.nodes) {
            if (n.up) {
                sum += usage_owner_share(n.owner, slot, node_now(n));
            }
        }
        RC_ASSERT(sum <= 1 + 1e-6);
    }
}

// A window may be used up to the highest cap that was in force in it.
static void
note_begun(world &w, uint32_t id)
{
    auto &begun = w.begun[id - 1];
    auto &bounds = w.bounds[id - 1];
    double bound = cap_bound(w.caps[id - 1]);
    begun.push_back(w.now_us);
    while (begun.front() < w.now_us - WINDOW_US) {
        begun.pop_front();
    }
    while (!bounds.empty() && bounds.front().first < w.now_us - WINDOW_US) {
        bounds.pop_front();
    }
    for (const auto &was : bounds) {
        bound = std::max(bound, was.second);
    }
    w.total_begun[id - 1]++;
    w.worst = std::max(w.worst, (double)begun.size() / bound);
    RC_ASSERT((double)begun.size() <= bound);
}

void
change_cap(world &w, uint32_t id, double rate, double burst)
{
    w.bounds[id - 1].emplace_back(w.now_us, cap_bound(w.caps[id - 1]));
    w.caps[id - 1].rate_per_s = rate;
    w.caps[id - 1].burst = burst;
}

static void send_due(node &n, int slot);

static void
settle(node &n, uint32_t id)
{
    usage_token token{};
    int64_t retry_us = 0;
    int &parked = n.parked[id];
    while (parked > 0) {
        switch (usage_share_settle(&token, &retry_us, n.share, id, PATIENCE_US,
                                   node_now(n))) {
        case USAGE_GRANTED:
            note_begun(*n.w, id);
            break;
        case USAGE_OVER_CAP:
            n.w->total_over[id - 1]++;
            break;
        case USAGE_UNCHECKED:
            n.w->total_unchecked[id - 1]++;
            break;
        case USAGE_WAIT:
            return;
        }
        parked--;
    }
}

static void
settle_slot(node &n, int slot)
{
    for (uint32_t id = 1; id <= n.w->caps.size(); id++) {
        if (usage_cap_slot(id) == slot) {
            settle(n, id);
        }
    }
}

static void
finish_call(node &n, uint64_t call, const usage_answer *answer)
{
    auto found = n.calls.find(call);
    if (found == n.calls.end()) {
        return; // timed out
    }
    auto message = found->second.message;
    n.calls.erase(found);
    if (answer != nullptr) {
        usage_share_answered(n.share, message.get(), answer, node_now(n));
    }
    else {
        usage_share_failed(n.share, message.get(), true, node_now(n));
    }
    settle_slot(n, message->ask.slot);
    send_due(n, message->ask.slot);
}

static bool
is_cut(const world &w, int from, int to)
{
    return w.part[(size_t)from] != w.part[(size_t)to];
}

static void
post(world &w, envelope mail)
{
    if (is_cut(w, mail.from, mail.to) || w.chance() < w.loss) {
        return;
    }
    int delay_max_ms = w.chance() < w.slow ? 600 : w.delay_max_ms;
    mail.at_us = w.now_us + 500 + w.below(delay_max_ms * 1000);
    mail.order = ++w.orders;
    w.messages++;
    w.wires.push(std::move(mail));
}

static void
send_due(node &n, int slot)
{
    auto message = std::make_shared<usage_message>();
    while (usage_share_poll(message.get(), n.share, slot, node_now(n))) {
        uint64_t call = ++n.w->orders;
        n.calls[call] = {message, n.w->now_us + TIMEOUT_US};
        int to = 0;
        while (member_id(to) != message->to) {
            to++;
        }
        if (to == n.index) {
            usage_answer answer{};
            usage_owner_handle(&answer, n.owner, &message->ask,
                               usage_share_members(n.share), node_now(n));
            finish_call(n, call, &answer);
            return;
        }
        envelope mail{};
        mail.from = n.index;
        mail.to = to;
        mail.from_start = n.start;
        mail.call = call;
        mail.message = message;
        post(*n.w, mail);
        message = std::make_shared<usage_message>();
    }
}

static void
receive(node &n, const envelope &mail)
{
    if (!n.up) {
        return;
    }
    if (n.frozen_until_us > n.w->now_us) {
        n.inbox.push_back(mail);
        return;
    }
    if (mail.is_answer) {
        if (mail.from_start == n.start) {
            finish_call(n, mail.call, &mail.answer);
        }
        return;
    }
    envelope reply = mail;
    reply.is_answer = true;
    reply.from = n.index;
    reply.to = mail.from;
    usage_owner_handle(&reply.answer, n.owner, &mail.message->ask,
                       usage_share_members(n.share), node_now(n));
    post(*n.w, reply);
}

// What the timers of a node do.
static void
run_timers(node &n)
{
    world &w = *n.w;
    std::vector<uint64_t> late;
    for (const auto &call : n.calls) {
        if (call.second.due_us <= w.now_us) {
            late.push_back(call.first);
        }
    }
    for (uint64_t call : late) {
        finish_call(n, call, nullptr);
    }
    if (w.now_us >= n.members_from_us) {
        std::vector<usage_member> members;
        for (size_t i = 0; i < w.nodes.size(); i++) {
            bool believed = w.unreachable[(size_t)n.index][i];
            if (believed && w.forgets && n.has_list) {
                continue;
            }
            members.push_back({member_id((int)i), !believed});
        }
        usage_share_set_members(n.share, members.data(), members.size(),
                                node_now(n));
        n.has_list = true;
    }
    for (int slot = 0; slot < USAGE_CAP_SLOTS; slot++) {
        settle_slot(n, slot);
        send_due(n, slot);
    }
}

void
request(node &n, uint32_t id, double shed)
{
    usage_token token{};
    int64_t retry_us = 0;
    if (!n.up || n.frozen_until_us > n.w->now_us) {
        return;
    }
    switch (usage_share_take(&token, &retry_us, n.share, id, PATIENCE_US,
                             node_now(n))) {
    case USAGE_GRANTED:
        if (n.w->chance() < shed) {
            usage_share_return(n.share, &token, node_now(n));
        }
        else {
            note_begun(*n.w, id);
        }
        break;
    case USAGE_OVER_CAP:
        RC_ASSERT(retry_us > 0);
        n.w->total_over[id - 1]++;
        break;
    case USAGE_UNCHECKED:
        RC_ASSERT(retry_us > 0);
        n.w->total_unchecked[id - 1]++;
        break;
    case USAGE_WAIT:
        n.parked[id]++;
        send_due(n, usage_cap_slot(id));
        break;
    }
}

// Believes what is true of the others, but for mistakes.
void
update_beliefs(world &w)
{
    for (size_t i = 0; i < w.nodes.size(); i++) {
        for (size_t j = 0; j < w.nodes.size(); j++) {
            bool lost = !w.nodes[j].up || is_cut(w, (int)i, (int)j);
            w.unreachable[i][j] = i != j && (w.chance() < w.unlike) != lost;
        }
    }
}

void
advance(world &w)
{
    int64_t end_us = w.now_us + TICK_US;
    while (!w.wires.empty() && w.wires.top().at_us <= end_us) {
        envelope mail = w.wires.top();
        w.wires.pop();
        w.now_us = std::max(w.now_us, mail.at_us);
        receive(w.nodes[(size_t)mail.to], mail);
    }
    w.now_us = end_us;
    for (node &n : w.nodes) {
        if (!n.up && n.starts_us != 0 && n.starts_us <= w.now_us) {
            start_node(n);
        }
        if (n.up && n.frozen_until_us <= w.now_us) {
            std::deque<envelope> inbox;
            inbox.swap(n.inbox);
            for (const envelope &mail : inbox) {
                receive(n, mail);
            }
            if ((w.now_us / TICK_US + n.index) % 4 == 0) {
                run_timers(n);
            }
        }
    }
}

} // namespace usage_world
