// Queue of a target, with switches between mixed and other work at any moment:
// a request ends once, no more run than may, no slot that a waiting internal
// request may take stays free, and external requests that wait get a quarter
// of the slots before internal ones do.
#include "prop.hpp"

#include <map>

#include "lav/mixed_queue.h"
#include "lav/target_queue.h"

namespace {

constexpr int64_t ms = 1000;

enum class state {
    waits,
    runs
};

struct target {
    target_queue *queue = nullptr;
    int64_t now_us = 1;
    int limit;
    bool mixed;
    bool switched = false;
    std::map<int, state> requests; // by handle
    std::map<int, bool> internal;
    int next_handle = 0;

    target(int limit_, bool mixed_) : limit(limit_), mixed(mixed_)
    {
        RC_ASSERT(target_queue_new(&queue) == 0);
        target_queue_set_mixed(queue, mixed, now_us);
        target_queue_set_limit(queue, limit, now_us);
    }

    ~target()
    {
        target_queue_free(queue);
    }

    int
    count(state s) const
    {
        int n = 0;
        for (const auto &entry : requests) {
            n += entry.second == s;
        }
        return n;
    }

    int
    count(state s, bool is_internal) const
    {
        int n = 0;
        for (const auto &entry : requests) {
            n += entry.second == s && internal.at(entry.first) == is_internal;
        }
        return n;
    }

    void
    arrive()
    {
        int handle = next_handle++;
        bool is_internal = pick(0, 2) > 0;
        target_queue_request request = {};
        request.handle = handle;
        request.rank = pick(0, ID_RANKS - 1);
        request.route = is_internal ? 2 : 1;
        request.internal = is_internal;
        request.priority = pick(0, 2);
        request.objective_us = (is_internal ? 300 : 2000) * ms;
        request.deadline_us = now_us + pick(1, is_internal ? 700 : 8000) * ms;
        admission_result result = target_queue_decide(queue, &request, now_us);
        internal[handle] = is_internal;
        if (result.displaced != ADMISSION_NONE) {
            RC_ASSERT(requests.at(result.displaced) == state::waits);
            requests.erase(result.displaced);
        }
        if (result.decision == ADMISSION_DISPATCHED) {
            requests[handle] = state::runs;
        }
        else if (result.decision == ADMISSION_QUEUED) {
            requests[handle] = state::waits;
        }
        else {
            RC_ASSERT(result.reason != REASON_NONE);
        }
    }

    int
    pick_handle(state s)
    {
        int n = count(s);
        int at = n > 0 ? pick(0, n - 1) : 0;
        for (const auto &entry : requests) {
            if (entry.second == s && at-- == 0) {
                return entry.first;
            }
        }
        return ADMISSION_NONE;
    }

    void
    end_one()
    {
        int handle = pick_handle(state::runs);
        if (handle != ADMISSION_NONE) {
            bool cut = pick(0, 9) == 0;
            int64_t took_us = internal.at(handle) ? 45 * ms : 650 * ms;
            target_queue_end_call(queue, handle, cut ? -1 : took_us, now_us);
            requests.erase(handle);
        }
    }

    void
    remove_one()
    {
        int handle = pick_handle(state::waits);
        if (handle != ADMISSION_NONE) {
            RC_ASSERT(target_queue_remove(queue, handle));
            RC_ASSERT(!target_queue_remove(queue, handle));
            requests.erase(handle);
        }
    }

    void
    dispatch()
    {
        admission_refusal refusal;
        int handle = 0;
        while (target_queue_pop_expired(&refusal, queue, now_us)) {
            RC_ASSERT(requests.at(refusal.handle) == state::waits);
            requests.erase(refusal.handle);
        }
        for (;;) {
            int external = count(state::runs, false);
            bool external_waits = count(state::waits, false) > 0;
            if (!target_queue_pop(&handle, queue, now_us)) {
                break;
            }
            RC_ASSERT(requests.at(handle) == state::waits);
            requests[handle] = state::runs;
            if (mixed && !switched && external_waits &&
                external < int(limit * MIXED_QUEUE_EXTERNAL_SHARE_MIN)) {
                RC_ASSERT(!internal.at(handle));
            }
        }
        if (mixed && !switched && count(state::waits, true) > 0) {
            RC_ASSERT(count(state::runs) == limit);
        }
    }

    void
    check() const
    {
        RC_ASSERT(target_queue_running_count(queue) == count(state::runs));
        RC_ASSERT(target_queue_queued_count(queue) == count(state::waits));
        RC_ASSERT(count(state::runs) <= limit);
    }

    void
    step()
    {
        now_us += pick(0, 5) * ms;
        switch (pick(0, 9)) {
        case 0:
        case 1:
        case 2:
        case 3:
        case 4:
            arrive();
            break;
        case 5:
        case 6:
        case 7:
            end_one();
            break;
        case 8:
            remove_one();
            break;
        default:
            if (pick(0, 39) == 0) {
                mixed = !mixed;
                switched = true;
                target_queue_set_mixed(queue, mixed, now_us);
            }
            break;
        }
        dispatch();
        check();
        switched = switched && !requests.empty();
    }
};

} // namespace

int
main()
{
    prop_runner runner;
    runner.check("requests and slots add up, also while the work switches",
                 [] {
                     target t(pick(1, 24), pick(0, 3) > 0);
                     int steps = pick(1, 300);
                     for (int i = 0; i < steps; i++) {
                         t.step();
                     }
                 });
    return runner.finish();
}
