// The nodes of a deployment with usage caps, and the messages between them:
// what the property tests of the caps play with.
#ifndef LAV_USAGE_WORLD_HPP
#define LAV_USAGE_WORLD_HPP

#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "lav/clock.h"
#include "lav/usage_owner.h"
#include "lav/usage_share.h"

namespace usage_world {

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

int64_t node_now(const node &n);
void start_node(node &n);
void add_nodes(world &w, int count);
void add_cap(world &w, double rate, double burst);
void check_lent_once(world &w);
void change_cap(world &w, uint32_t id, double rate, double burst);
void request(node &n, uint32_t id, double shed);
void update_beliefs(world &w);
void advance(world &w);

} // namespace usage_world

#endif
