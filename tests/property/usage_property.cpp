// Usage caps: several nodes with messages lost, delayed and reordered, starts,
// freezes, suspended hosts, parts cut off, disagreement on the members and
// changes of the caps.  In no window is more begun than a cap allows; in calm
// nearly all that is under a cap is begun.
#include "prop.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "lav/clock.h"
#include "lav/usage_owner.h"
#include "lav/usage_share.h"

namespace {

constexpr int64_t MS = CLOCK_US_PER_MS;
constexpr int64_t WINDOW_US = 5 * CLOCK_US_PER_S;
constexpr int64_t TICK_US = 5 * MS;
constexpr int64_t TIMEOUT_US = 250 * MS;
constexpr int64_t PATIENCE_US = 1500 * MS; // of a request
// What may be held or given back at a time, by the rule that the caps keep.
constexpr int64_t AHEAD_US = 2 * USAGE_CAP_GRANT_US;

struct envelope {
    int64_t at_us;
    uint64_t order;
    int from;
    int to;
    uint64_t from_start; // start of the node that asks
    uint64_t call;
    bool is_answer;
    std::shared_ptr<usage_message> message;
    usage_answer answer;
    bool
    operator<(const envelope &other) const
    {
        return at_us != other.at_us ? at_us > other.at_us
                                    : order > other.order;
    }
};

struct open_call {
    std::shared_ptr<usage_message> message;
    int64_t due_us;
};

struct world;

struct node {
    world *w = nullptr;
    int index = 0;
    uint64_t start = 0;
    int64_t offset_us = 0; // of its clock
    bool up = true;
    bool has_list = false; // of all members, since its start
    int64_t frozen_until_us = 0;
    int64_t starts_us = 0;       // again, if it isn't up
    int64_t members_from_us = 0; // knows no members before
    usage_share *share = nullptr;
    usage_owner *owner = nullptr;
    std::map<uint64_t, open_call> calls;
    std::map<uint32_t, int> parked;
    std::deque<envelope> inbox; // while frozen
};

struct cap {
    double rate;
    double burst;
};

struct world {
    std::mt19937_64 random;
    int64_t now_us = 100 * CLOCK_US_PER_S;
    std::vector<node> nodes;
    std::vector<workspace> caps;
    std::vector<std::deque<std::pair<int64_t, double>>> bounds;
    std::vector<std::deque<int64_t>> begun; // within the window
    std::vector<int> total_begun;
    std::vector<int> total_over;
    std::vector<int> total_unchecked;
    std::priority_queue<envelope> wires;
    uint64_t orders = 0;
    double loss = 0;
    int delay_max_ms = 2;
    int list_late_ms = 300; // the members' list comes so late, at most
    double slow = 0;        // probability of a long delay
    std::vector<int> part;  // nodes in different parts don't hear each other
    std::vector<std::vector<bool>> unreachable; // as believed
    bool forgets = false; // nodes drop members that they don't reach
    double unlike = 0;    // probability of a wrong belief, at each update
    uint64_t messages = 0;
    double worst = 0; // largest use of a window, of what is allowed

    explicit world(uint64_t seed) : random(seed)
    {
    }
    world(const world &) = delete;
    world &operator=(const world &) = delete;

    ~world()
    {
        for (node &n : nodes) {
            usage_share_free(n.share);
            usage_owner_free(n.owner);
        }
    }

    double
    chance()
    {
        return std::uniform_real_distribution<double>(0, 1)(random);
    }

    int
    below(int limit)
    {
        return std::uniform_int_distribution<int>(0, limit - 1)(random);
    }
};

const workspace *
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

uint64_t
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
double
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
void
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

void send_due(node &n, int slot);

void
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

void
settle_slot(node &n, int slot)
{
    for (uint32_t id = 1; id <= n.w->caps.size(); id++) {
        if (usage_cap_slot(id) == slot) {
            settle(n, id);
        }
    }
}

void
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

bool
is_cut(const world &w, int from, int to)
{
    return w.part[(size_t)from] != w.part[(size_t)to];
}

void
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

void
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

void
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
void
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

// One disturbance, of any kind.
void
disturb(world &w)
{
    int nodes = (int)w.nodes.size();
    node &n = w.nodes[(size_t)w.below(nodes)];
    switch (w.below(10)) {
    case 0:
        start_node(n);
        break;
    case 1:
        n.frozen_until_us = w.now_us + w.below(8000) * MS;
        break;
    case 2: // the host is suspended: its clock stands
    {
        int64_t us = w.below(5000) * MS;
        n.offset_us -= us;
        usage_share_reset(n.share, node_now(n));
        usage_owner_reset(n.owner, w.random() | 1U);
        break;
    }
    case 3: {
        int parts = 1 + w.below(3);
        for (int &part : w.part) {
            part = w.below(parts);
        }
        break;
    }
    case 4:
        w.part.assign(w.part.size(), 0);
        w.part[(size_t)n.index] = 1;
        break;
    case 5:
        w.part.assign(w.part.size(), 0);
        w.loss = w.chance() < 0.5 ? 0 : 0.3 * w.chance();
        w.delay_max_ms = w.chance() < 0.7 ? 2 : 1 + w.below(600);
        w.slow = w.chance() < 0.5 ? 0 : 0.3 * w.chance();
        break;
    case 6:
        for (node &each : w.nodes) {
            start_node(each);
        }
        break;
    case 7:
        w.unlike = w.chance() < 0.5 ? 0 : w.chance();
        break;
    case 8:
        n.up = false;
        break;
    default: {
        uint32_t id = 1 + (uint32_t)w.below((int)w.caps.size());
        double rate = 1 + w.below(400);
        change_cap(w, id, rate, w.below(3) * rate / 2);
        break;
    }
    }
    if (!n.up && w.chance() < 0.7) {
        start_node(n);
    }
}

void
check_never_over()
{
    world w((uint64_t)pick(0, 1 << 30));
    add_nodes(w, pick(2, 12));
    int caps = pick(1, 4);
    for (int i = 0; i < caps; i++) {
        double rate = pick(1, 1000);
        add_cap(w, rate, pick(0, 2) * rate / 2);
    }
    double press = 0;
    int64_t turn_us = w.now_us;
    double shed = pick(0, 1) * 0.3;
    w.forgets = pick(0, 1) == 1;
    int only = pick(-1, (int)w.nodes.size() - 1);
    int64_t end_us = w.now_us + 25 * CLOCK_US_PER_S;
    int64_t calm_until_us = w.now_us + 3 * CLOCK_US_PER_S;
    while (w.now_us < end_us) {
        if (w.now_us > calm_until_us) {
            calm_until_us = w.now_us + w.below(1500) * MS;
            disturb(w);
        }
        if (w.below(20) == 0) {
            update_beliefs(w);
        }
        advance(w);
        check_lent_once(w);
        if (w.now_us > turn_us) {
            turn_us = w.now_us + w.below(5000) * MS;
            press = press > 0 ? 0 : 1 + w.below(6);
        }
        for (uint32_t id = 1; id <= w.caps.size(); id++) {
            double mean =
                press * w.caps[id - 1].rate_per_s * TICK_US / CLOCK_US_PER_S;
            int count = std::poisson_distribution<int>(mean)(w.random);
            for (int i = 0; i < count; i++) {
                int at = only >= 0 && w.chance() < 0.5
                             ? only
                             : w.below((int)w.nodes.size());
                request(w.nodes[(size_t)at], id, shed);
            }
        }
    }
}

enum where {
    AT_ONE,
    AT_ALL,
    MOVING
};

struct reference_bucket {
    double tokens = 0;
    int64_t at_us = 0;
    int owed = 0;

    void
    offer(const workspace &entry, int64_t now_us)
    {
        tokens = std::min(entry.burst, tokens + entry.rate_per_s *
                                                    (double)(now_us - at_us) /
                                                    CLOCK_US_PER_S);
        at_us = now_us;
        if (tokens >= 1) {
            tokens -= 1;
            owed++;
        }
    }
};

// Offers `load` times the rates and returns the part that was begun of what a
// single bucket would have let through.
double
play_calm(world &w, enum where where, double load, int seconds)
{
    std::vector<reference_bucket> references(w.caps.size());
    int64_t begin_us = w.now_us + 8 * CLOCK_US_PER_S;
    while (w.now_us < begin_us) {
        advance(w);
    }
    for (auto &reference : references) {
        reference.at_us = w.now_us;
    }
    int64_t end_us = w.now_us + seconds * CLOCK_US_PER_S;
    while (w.now_us < end_us) {
        advance(w);
        for (uint32_t id = 1; id <= w.caps.size(); id++) {
            const workspace &entry = w.caps[id - 1];
            reference_bucket &bucket = references[id - 1];
            double mean = load * entry.rate_per_s * TICK_US / CLOCK_US_PER_S;
            int count = std::poisson_distribution<int>(mean)(w.random);
            int at = where == MOVING ? (int)(w.now_us / (700 * MS) + id) : 0;
            at %= (int)w.nodes.size();
            for (int i = 0; i < count; i++) {
                bucket.offer(entry, w.now_us);
                int to = where == AT_ALL ? w.below((int)w.nodes.size()) : at;
                request(w.nodes[(size_t)to], id, 0);
            }
        }
    }
    double worst = 1e9;
    for (size_t i = 0; i < w.caps.size(); i++) {
        if (references[i].owed > 50) {
            worst =
                std::min(worst, (double)w.total_begun[i] / references[i].owed);
        }
    }
    return worst;
}

// All nodes start again within the same 0.3 s, also several times in a row,
// whatever was used right before.  Some go on instead, and may be cut off.
void
restart_all(world &w, double part_that_goes_on)
{
    w.part.assign(w.part.size(), 0);
    for (node &n : w.nodes) {
        if (w.chance() < part_that_goes_on) {
            w.part[(size_t)n.index] = w.below(2);
            continue;
        }
        n.up = false;
        n.starts_us = w.now_us + w.below(300) * MS;
    }
}

// Offers `load` times the rates for some time, at one node or at all.
// `references` may be null.
void
offer(world &w, int at, double load, int64_t end_us,
      std::vector<reference_bucket> *references = nullptr)
{
    while (w.now_us < end_us) {
        advance(w);
        check_lent_once(w);
        for (uint32_t id = 1; id <= w.caps.size(); id++) {
            double mean =
                load * w.caps[id - 1].rate_per_s * TICK_US / CLOCK_US_PER_S;
            int count = std::poisson_distribution<int>(mean)(w.random);
            for (int i = 0; i < count; i++) {
                int to = at >= 0 ? at : w.below((int)w.nodes.size());
                if (references != nullptr) {
                    (*references)[id - 1].offer(w.caps[id - 1], w.now_us);
                }
                request(w.nodes[(size_t)to], id, 0);
            }
        }
    }
}

void
check_restarts()
{
    world w((uint64_t)pick(0, 1 << 30));
    add_nodes(w, pick(2, 12));
    for (int i = 0; i < 3; i++) {
        double rate = pick(1, 1000);
        add_cap(w, rate, pick(0, 2) * rate / 2);
    }
    double goes_on = pick(0, 2) * 0.2;
    w.delay_max_ms = pick(1, 60);
    w.loss = pick(0, 1) * 0.1;
    for (int i = 0; i < 6; i++) {
        int at = pick(-1, (int)w.nodes.size() - 1);
        double loads[] = {0, 0.5, 8};
        offer(w, at, loads[pick(0, 2)], w.now_us + pick(1, 6000) * MS);
        offer(w, at, 8, w.now_us + pick(1, 1000) * MS);
        restart_all(w, goes_on);
        offer(w, at, 8, w.now_us + pick(300, 2000) * MS);
    }
}

// After a start of all nodes, what a bucket would let through that was empty
// when the last one started is begun, if it can wait for as long as nothing may
// be lent.
void
check_served_after_restart()
{
    world w((uint64_t)pick(0, 1 << 30));
    add_nodes(w, pick(3, 40));
    add_cap(w, 30, 30);
    add_cap(w, pick(100, 590), 300);
    offer(w, -1, 0.6, w.now_us + 8 * CLOCK_US_PER_S);
    w.list_late_ms = 1;
    restart_all(w, 0);
    offer(w, -1, 0, w.now_us + 300 * MS);
    std::vector<reference_bucket> references(w.caps.size());
    for (auto &reference : references) {
        reference.at_us = w.now_us;
    }
    offer(w, -1, 0, w.now_us + 50 * MS);
    w.total_begun.assign(w.caps.size(), 0);
    offer(w, -1, 0.8, w.now_us + CLOCK_US_PER_S, &references);
    offer(w, -1, 0, w.now_us + CLOCK_US_PER_S);
    for (size_t i = 0; i < w.caps.size(); i++) {
        RC_ASSERT(references[i].owed > 0);
        RC_ASSERT(w.total_begun[i] >= references[i].owed * 0.95 - 1);
    }
}

void
check_calm(enum where where)
{
    world w((uint64_t)pick(0, 1 << 30));
    add_nodes(w, pick(3, 40));
    add_cap(w, 5, 5);
    add_cap(w, 30, 30);
    add_cap(w, pick(100, 590), 300);
    double load = pick(0, 1) == 0 ? 1 / 1.6 : pick(15, 70) / 10.;
    double part = play_calm(w, where, load, 20);
    if (part < 0.95) {
        std::printf("load %.2f nodes %zu part %.3f\n", load, w.nodes.size(),
                    part);
    }
    RC_ASSERT(part >= 0.95);
}

} // namespace

int
main(int argc, char **)
{
    prop_runner runner;
    if (argc > 1) { // figures for the documents
        for (int nodes : {30, 100, 300}) {
            for (enum where where : {AT_ONE, AT_ALL, MOVING}) {
                for (double load : {0.625, 4.}) {
                    world w(1);
                    add_nodes(w, nodes);
                    for (int i = 0; i < 60; i++) {
                        add_cap(w, 5 + i, 5 + i);
                    }
                    double part = play_calm(w, where, load, 10);
                    std::printf("nodes %d where %d load %.3f part %.3f "
                                "messages/s a node %.1f window %.2f\n",
                                nodes, (int)where, load, part,
                                (double)w.messages / 18 / nodes, w.worst);
                }
            }
        }
        return 0;
    }
    runner.check("never over a cap in any window", check_never_over);
    runner.check("never over a cap while all nodes start", check_restarts);
    runner.check("served after all nodes started", check_served_after_restart);
    runner.check("calm, demand at one node", [] { check_calm(AT_ONE); });
    runner.check("calm, demand at all nodes", [] { check_calm(AT_ALL); });
    runner.check("calm, demand that moves", [] { check_calm(MOVING); });
    return runner.finish();
}
