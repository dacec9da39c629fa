// Admission by class: under any load, no call gets a slot while a more
// important one is queued, and no call is refused for lack of a slot if a less
// important one was dispatched while it waited.
#include "prop.hpp"

#include <map>
#include <vector>

#include "lav/admission.h"

namespace {

constexpr int64_t SHED_DURATION_US = 100000;
constexpr int64_t LEVEL_WINDOW_US = 100000;

struct queued_call {
    int klass;
    int64_t since_us;
};

struct simulation {
    admission_queue *a = nullptr;
    svc_policy policy{};
    int slots;
    int64_t now_us = 1000000;
    int next_handle = 0;
    std::map<int, queued_call> queue;
    std::map<int, int64_t> running; // handle -> started
    int64_t last_start_us[SVC_CLASS_COUNT] = {};
    int64_t last_refused_us[SVC_CLASS_COUNT] = {};

    simulation()
    {
        policy.admission = true;
        policy.root_class = true;
        policy.rank = pick(0, 1) == 1;
        policy.deadline_drop = pick(0, 1) == 1;
        policy.adaptive_limit = pick(0, 1) == 1;
        policy.ramp = pick(0, 1) == 1;
        policy.queue = pick(0, 1) ? SVC_QUEUE_CLASS : SVC_QUEUE_LIFO;
        policy.queue_wait_max_ms = pick(20, 200);
        policy.queue_length = pick(1, 12);
        slots = pick(1, 8);
        RC_ASSERT(admission_new(&a, &policy) == 0);
        admission_set_slots(a, slots, pick(0, 1) == 1, now_us);
    }

    ~simulation()
    {
        admission_free(a);
    }

    void
    started(int handle, int klass)
    {
        for (const auto &entry : queue) {
            RC_ASSERT(entry.second.klass >= klass);
        }
        // No dispatch within SHED_DURATION_US after a more important refusal.
        for (int i = 0; i < klass; i++) {
            RC_ASSERT(now_us - last_refused_us[i] >= SHED_DURATION_US);
        }
        running[handle] = now_us;
        last_start_us[klass] = now_us;
        RC_ASSERT((int)running.size() <= slots);
    }

    // Refused for lack of a slot: no less important call was dispatched since.
    void
    refused(int klass, int64_t since_us, enum reason reason)
    {
        if (reason == REASON_DEADLINE) {
            return;
        }
        // Nothing sheds the most important class: only the level refuses it.
        bool by_level =
            klass == SVC_CRITICAL && reason == REASON_LEVEL_REFUSAL;
        for (int i = klass + 1; i < SVC_CLASS_COUNT; i++) {
            RC_ASSERT(last_start_us[i] <= since_us);
            // Not by the level either, soon after a less important dispatch.
            RC_ASSERT(!by_level ||
                      now_us - last_start_us[i] >= LEVEL_WINDOW_US);
        }
        last_refused_us[klass] = now_us;
    }

    void
    arrive()
    {
        admission_call call{};
        call.handle = next_handle++;
        call.klass = pick(0, SVC_CLASS_COUNT - 1);
        call.rank = pick(0, ID_RANKS - 1);
        call.depth = pick(1, 7);
        call.arrived_us = now_us;
        call.deadline_us = now_us + pick(10, 1000) * 1000;
        admission_result result = admission_decide(a, &call, now_us);
        if (result.displaced != ADMISSION_NONE) {
            queued_call displaced = queue.at(result.displaced);
            queue.erase(result.displaced);
            RC_ASSERT(displaced.klass >= call.klass);
            refused(displaced.klass, displaced.since_us,
                    REASON_QUEUE_DISPLACED);
        }
        switch (result.decision) {
        case ADMISSION_DISPATCHED:
            started(call.handle, call.klass);
            break;
        case ADMISSION_QUEUED:
            queue[call.handle] = {call.klass, now_us};
            RC_ASSERT((int64_t)queue.size() <= policy.queue_length);
            break;
        case ADMISSION_REFUSED:
            refused(call.klass, now_us, result.reason);
        }
    }

    void
    dispatch()
    {
        int handle;
        while (admission_pop(&handle, a, now_us)) {
            queued_call next = queue.at(handle);
            queue.erase(handle);
            started(handle, next.klass);
        }
    }

    void
    expire()
    {
        admission_refusal refusal;
        while (admission_pop_expired(&refusal, a, now_us)) {
            queued_call expired = queue.at(refusal.handle);
            queue.erase(refusal.handle);
            refused(expired.klass, expired.since_us, refusal.reason);
        }
    }

    void
    finish()
    {
        if (running.empty()) {
            return;
        }
        auto oldest = running.begin();
        admission_release_slot(a, now_us - oldest->second, now_us);
        running.erase(oldest);
    }

    void
    step()
    {
        now_us += pick(0, 20) * 1000 + 1;
        expire();
        switch (pick(0, 3)) {
        case 0:
            finish();
            break;
        case 1:
            if (!queue.empty()) {
                int handle = queue.begin()->first;
                RC_ASSERT(admission_remove(a, handle));
                queue.erase(handle);
            }
            break;
        default:
            arrive();
        }
        dispatch();
        RC_ASSERT(admission_queued_count(a) == (int)queue.size());
        RC_ASSERT(admission_in_flight_count(a) == (int)running.size());
    }
};

} // namespace

int
main()
{
    prop_runner runner;
    runner.check("the more important call is dispatched first", [] {
        simulation w;
        int steps = pick(50, 600);
        for (int i = 0; i < steps; i++) {
            w.step();
        }
    });
    return runner.finish();
}
