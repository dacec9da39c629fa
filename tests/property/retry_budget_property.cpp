// Retry budgets of a fleet: in any window the retries of all nodes together
// stay within the ratio of the requests of that window, of the one before it
// or of the one half a window before it, whichever has most, and the slack;
// whichever node gets the requests, and whenever nodes start, restart and end.
#include "prop.hpp"

#include <algorithm>
#include <array>
#include <vector>

#include "lav/retry_budget.h"

namespace {

constexpr double RATIO = 0.2;
constexpr int WINDOW_MS = 10000;
constexpr int STEP_MS = 10;
constexpr int WINDOW = WINDOW_MS / STEP_MS; // in steps, as all times below
constexpr int DAY = 4 * WINDOW;
constexpr int NODES_MAX = 5;
constexpr int PHASE_MIN = 20;
constexpr int PHASE_MAX = 800;
constexpr int CHANGES_MAX = 6;

struct fleet_node {
    retry_budget_window budget{};
    bool up = false;
    bool known = false;    // it has started before
    int64_t clock_us = 0;  // of this node, ahead of the fleet's
    double rate = 0;       // requests in a step
    double arrears = 0;    // fractions of requests
    double wanted = 0;     // retries wanted in a step
    double want_arrears = 0;
};

struct fleet {
    int slack = pick(0, 1) * 48;
    std::array<fleet_node, NODES_MAX> nodes{};
    std::vector<int> requests = std::vector<int>(DAY);
    std::vector<int> retries = std::vector<int>(DAY);
    int known = 0;
    int now = 0;

    int64_t
    time_us(const fleet_node &n) const
    {
        return n.clock_us + (int64_t)now * STEP_MS * 1000;
    }

    // All nodes hear at once of one that starts.
    void
    start(fleet_node &n)
    {
        known += n.known ? 0 : 1;
        n.clock_us = (int64_t)pick(0, 20000) * 1000;
        retry_budget_options options{};
        options.ratio = RATIO;
        options.slack = slack;
        options.window_us = (int64_t)WINDOW_MS * 1000;
        options.nodes = known;
        options.started_us = time_us(n);
        options.fleet_started_us =
            n.known ? RETRY_BUDGET_LONG_AGO : n.clock_us;
        retry_budget_init(&n.budget, &options);
        n.up = true;
        n.known = true;
        for (fleet_node &other : nodes) {
            retry_budget_set_nodes(&other.budget, known);
        }
    }

    // A node starts, ends or restarts.
    void
    change()
    {
        fleet_node &n = nodes[(size_t)pick(0, NODES_MAX - 1)];
        bool restart = n.up && pick(0, 1) == 0;
        if (n.up) {
            n.up = false;
        }
        if (!n.up && (restart || !n.known || pick(0, 1) == 0)) {
            start(n);
        }
    }

    // Requests move: each node gets another rate, many of them none.
    void
    move()
    {
        for (fleet_node &n : nodes) {
            n.rate = pick(0, 2) == 0 ? pick(0, 400) / 100.0 : 0;
            n.wanted = pick(0, 2) == 0 ? 0 : pick(0, 300) / 100.0;
        }
    }

    void
    step(fleet_node &n)
    {
        for (n.arrears += n.rate; n.arrears >= 1; n.arrears--) {
            retry_budget_add_request(&n.budget, 0, time_us(n));
            requests[(size_t)now]++;
        }
        for (n.want_arrears += n.wanted; n.want_arrears >= 1;
             n.want_arrears--) {
            retries[(size_t)now] +=
                retry_budget_take(&n.budget, time_us(n)) ? 1 : 0;
        }
    }

    void
    play()
    {
        int founders = pick(1, NODES_MAX);
        for (int i = 0; i < founders; i++) {
            start(nodes[(size_t)i]);
        }
        std::vector<int> changes;
        for (int i = pick(0, CHANGES_MAX); i > 0; i--) {
            // Who starts soon after the fleet counts as one that began it.
            changes.push_back(pick(
                RETRY_BUDGET_FOUNDING_US / 1000 / STEP_MS + 1, DAY - 1));
        }
        int phase_end = 0;
        for (now = 0; now < DAY; now++) {
            if (now == phase_end) {
                move();
                phase_end += pick(PHASE_MIN, PHASE_MAX);
            }
            for (int at : changes) {
                if (at == now) {
                    change();
                }
            }
            for (fleet_node &n : nodes) {
                if (n.up) {
                    step(n);
                }
            }
        }
    }
};

std::vector<int>
sums(const std::vector<int> &counts)
{
    std::vector<int> total(counts.size() + 1);
    for (size_t i = 0; i < counts.size(); i++) {
        total[i + 1] = total[i] + counts[i];
    }
    return total;
}

int
window_sum(const std::vector<int> &total, int from)
{
    int first = std::clamp(from, 0, DAY);
    int last = std::clamp(from + WINDOW, 0, DAY);
    return total[(size_t)last] - total[(size_t)first];
}

void
check_budget()
{
    fleet f;
    f.play();
    std::vector<int> requests = sums(f.requests);
    std::vector<int> retries = sums(f.retries);
    for (int from = 0; from < DAY; from++) {
        int counted = std::max({window_sum(requests, from),
                                window_sum(requests, from - WINDOW / 2),
                                window_sum(requests, from - WINDOW)});
        RC_ASSERT(window_sum(retries, from) <= RATIO * counted + f.slack);
    }
}

} // namespace

int
main()
{
    prop_runner runner;
    runner.check("nodes keep the retry budget of all", check_budget);
    return runner.finish();
}
