// A refusal is true: what was confirmed as cancelled or refused is never
// dispatched, and the router's verdict follows from its attempts.
#include "prop.hpp"

#include <map>
#include <set>

#include "lav/dispatch.h"
#include "lav/call_outcome.h"
#include "lav/retry.h"

namespace
{

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
        bool forgotten = seen_us.count(nonce) == 1 &&
                         now_us - seen_us[nonce] > DISPATCH_TTL_US;
        // The age that a late copy would carry.
        int64_t age_ms = seen_us.count(nonce) == 1
                             ? (now_us - seen_us[nonce]) / 1000
                             : 0;
        switch (pick(0, 4)) {
        case 0:
        case 1:
            if (dispatch_add(record, nonce, age_ms, now_us) == DISPATCH_NEW) {
                RC_ASSERT(!forgotten);
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
            if (dispatch_cancel(record, nonce, now_us) == DISPATCH_CANCEL_CONFIRMED &&
                !forgotten) {
                RC_ASSERT(dispatched.count(nonce) == 0);
                never.insert(nonce);
                seen_us.emplace(nonce, now_us);
            }
        }
    }
    dispatch_free(record);
}

void
check_verdict()
{
    call_outcome truth;
    bool first = pick(0, 1) == 1;
    call_outcome_init(&truth, first);
    bool done = false;
    bool open = false; // an attempt that may have run
    bool settled = false;
    int attempts = pick(0, 6);
    for (int i = 0; i < attempts; i++) {
        int index = call_outcome_add_attempt(&truth);
        RC_ASSERT(index == i);
        settled = false;
        switch (pick(0, 5)) {
        case 0:
            call_outcome_set_attempt(&truth, index, CALL_OUTCOME_NOT_SENT);
            break;
        case 1:
            call_outcome_set_attempt(&truth, index, CALL_OUTCOME_REFUSED);
            break;
        case 2:
            call_outcome_set_attempt(&truth, index, CALL_OUTCOME_LOST);
            call_outcome_set_attempt(&truth, index, CALL_OUTCOME_CANCELLED);
            break;
        case 3:
            call_outcome_set_attempt(&truth, index, CALL_OUTCOME_LOST);
            call_outcome_set_attempt(&truth, index, CALL_OUTCOME_REFUSED); // contradicts: stays lost
            open = true;
            break;
        case 4:
            call_outcome_set_attempt(&truth, index, CALL_OUTCOME_DONE);
            call_outcome_set_attempt(&truth, index, CALL_OUTCOME_LOST); // a late error: stays done
            done = true;
            break;
        default:
            call_outcome_set_attempt(&truth, index, CALL_OUTCOME_REFUSED);
            call_outcome_refuse_for_good(&truth);
            settled = true;
        }
    }
    enum outcome verdict = call_outcome_get(&truth);
    if (done) {
        RC_ASSERT(verdict == OUTCOME_DONE);
    }
    else if (settled || (!open && first)) {
        RC_ASSERT(verdict == OUTCOME_NOT_RUN);
    }
    else {
        RC_ASSERT(verdict == OUTCOME_UNKNOWN);
    }
}

void
check_retries()
{
    retry_failure c{};
    c.end = (enum retry_end)pick(RETRY_END_NOT_SENT, RETRY_END_LOST);
    c.reason = (enum reason)pick(0, REASON_COUNT - 1);
    c.idempotent = pick(0, 1) == 1;
    c.budget = pick(0, 3);
    c.reroutes = pick(0, RETRY_REROUTES_MAX + 1);
    c.time_left_us = pick(0, 20000);
    enum retry_action action = retry_decide(&c);
    if (action == RETRY_RESEND || action == RETRY_ASK_OWNER) {
        RC_ASSERT(c.budget > 0);
    }
    if (action == RETRY_REROUTE || action == RETRY_REDIRECT_OWNER) {
        RC_ASSERT(c.reroutes < RETRY_REROUTES_MAX);
        RC_ASSERT(c.end != RETRY_END_LOST);
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
    prop_runner tally;
    tally.check("what is cancelled or refused is never dispatched",
                check_dispatch_record);
    tally.check("the verdict follows from the attempts", check_verdict);
    tally.check("a retry has a budget, and a safe place to go",
                check_retries);
    return tally.finish();
}
