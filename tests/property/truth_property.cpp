// Reported outcomes are correct: an attempt confirmed as cancelled or refused
// is never dispatched, and the outcome of a call follows from its attempts.
#include "prop.hpp"

#include <map>
#include <set>

#include "lav/dispatch.h"
#include "lav/call_outcome.h"
#include "lav/retry.h"

namespace {

void
check_dispatch_record()
{
    dispatch_table *record = nullptr;
    RC_ASSERT(dispatch_new(&record, (size_t)pick(3, 20)) == 0);
    std::set<uint64_t> dispatched;
    std::set<uint64_t> never;
    std::map<uint64_t, int64_t> seen_us;
    int64_t now_us = 1;
    for (int i = 0; i < 300; i++) {
        uint64_t nonce = (uint64_t)pick(1, 30);
        now_us += pick(0, 1000000);
        bool expired = seen_us.count(nonce) == 1 &&
                       now_us - seen_us[nonce] > DISPATCH_TTL_US;
        // The age that a delayed duplicate would report.
        int64_t age_ms =
            seen_us.count(nonce) == 1 ? (now_us - seen_us[nonce]) / 1000 : 0;
        switch (pick(0, 4)) {
        case 0:
        case 1:
            if (dispatch_add(record, nonce, age_ms, now_us) == DISPATCH_NEW) {
                RC_ASSERT(!expired);
                RC_ASSERT(never.count(nonce) == 0);
                seen_us.emplace(nonce, now_us);
            }
            break;
        case 2:
            if (dispatch_start(record, nonce) == 0) {
                RC_ASSERT(never.count(nonce) == 0);
                RC_ASSERT(dispatched.insert(nonce).second);
            }
            break;
        case 3:
            if (dispatched.count(nonce) == 0) {
                dispatch_mark_refused(record, nonce);
                if (seen_us.count(nonce) == 1) {
                    never.insert(nonce);
                }
            }
            break;
        default:
            if (dispatch_cancel(record, nonce, now_us) ==
                    DISPATCH_CANCEL_CONFIRMED &&
                !expired) {
                RC_ASSERT(dispatched.count(nonce) == 0);
                never.insert(nonce);
                seen_us.emplace(nonce, now_us);
            }
        }
    }
    dispatch_free(record);
}

void
check_outcome()
{
    call_outcome call;
    bool first = pick(0, 1) == 1;
    call_outcome_init(&call, first);
    bool done = false;
    bool may_have_run = false; // some attempt may have run
    bool refused_for_good = false;
    int attempts = pick(0, 6);
    for (int i = 0; i < attempts; i++) {
        int index = call_outcome_add_attempt(&call);
        RC_ASSERT(index == i);
        refused_for_good = false;
        switch (pick(0, 5)) {
        case 0:
            call_outcome_set_attempt(&call, index, CALL_OUTCOME_NOT_SENT);
            break;
        case 1:
            call_outcome_set_attempt(&call, index, CALL_OUTCOME_REFUSED);
            break;
        case 2:
            call_outcome_set_attempt(&call, index, CALL_OUTCOME_LOST);
            call_outcome_set_attempt(&call, index, CALL_OUTCOME_CANCELLED);
            break;
        case 3:
            call_outcome_set_attempt(&call, index, CALL_OUTCOME_LOST);
            call_outcome_set_attempt(
                &call, index, CALL_OUTCOME_REFUSED); // contradicts: stays LOST
            may_have_run = true;
            break;
        case 4:
            call_outcome_set_attempt(&call, index, CALL_OUTCOME_DONE);
            call_outcome_set_attempt(
                &call, index, CALL_OUTCOME_LOST); // late error: stays DONE
            done = true;
            break;
        default:
            call_outcome_set_attempt(&call, index, CALL_OUTCOME_REFUSED);
            call_outcome_refuse_permanently(&call);
            refused_for_good = true;
        }
    }
    enum outcome result = call_outcome_get(&call);
    if (done) {
        RC_ASSERT(result == OUTCOME_DONE);
    }
    else if (refused_for_good || (!may_have_run && first)) {
        RC_ASSERT(result == OUTCOME_NOT_RUN);
    }
    else {
        RC_ASSERT(result == OUTCOME_UNKNOWN);
    }
}

void
check_retries()
{
    retry_failure c{};
    c.end = (enum retry_end)pick(RETRY_END_NOT_SENT, RETRY_END_UNKNOWN);
    c.reason = (enum reason)pick(0, REASON_COUNT - 1);
    c.idempotent = pick(0, 1) == 1;
    c.budget = pick(0, 3);
    c.reroutes = pick(0, RETRY_REROUTES_MAX + 1);
    c.time_left_us = pick(0, 20000);
    enum retry_action action = retry_decide(&c);
    if (action == RETRY_RESEND || action == RETRY_RESEND_TO_OWNER) {
        RC_ASSERT(c.budget > 0);
    }
    if (action == RETRY_REROUTE || action == RETRY_REDIRECT_OWNER) {
        RC_ASSERT(c.reroutes < RETRY_REROUTES_MAX);
        RC_ASSERT(c.end != RETRY_END_UNKNOWN);
    }
    if (!c.idempotent) {
        RC_ASSERT(action != RETRY_RESEND);
    }
    if (c.time_left_us < RETRY_TIME_LEFT_MIN_US) {
        RC_ASSERT(action == RETRY_STOP);
    }
}

} // namespace

int
main()
{
    prop_runner runner;
    runner.check("a cancelled or refused attempt is never dispatched",
                 check_dispatch_record);
    runner.check("the outcome follows from the attempts", check_outcome);
    runner.check("a retry has budget left and a safe destination",
                 check_retries);
    return runner.finish();
}
