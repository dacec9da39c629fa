// A refusal is true: what was confirmed as cancelled or refused is never
// dispatched, and the router's verdict follows from its attempts.
#include "prop.hpp"

#include <map>
#include <set>

#include "lav/dsp.h"
#include "lav/ocm.h"
#include "lav/rty.h"

namespace
{

void
check_dispatch_record()
{
    dsp *record = nullptr;
    RC_ASSERT(dsp_new(&record, (size_t)pick(3, 20)) == 0);
    std::set<uint64_t> dispatched;
    std::set<uint64_t> never;
    std::map<uint64_t, int64_t> seen_us;
    int64_t now_us = 1;
    for (int i = 0; i < 300; i++) {
        uint64_t nonce = (uint64_t)pick(1, 30);
        now_us += pick(0, 1000000);
        bool forgotten = seen_us.count(nonce) == 1 &&
                         now_us - seen_us[nonce] > DSP_KEEP_US;
        // The age that a late copy would carry.
        int64_t age_ms = seen_us.count(nonce) == 1
                             ? (now_us - seen_us[nonce]) / 1000
                             : 0;
        switch (pick(0, 4)) {
        case 0:
        case 1:
            if (dsp_arrive(record, nonce, age_ms, now_us) == DSP_NEW) {
                RC_ASSERT(!forgotten);
                RC_ASSERT(never.count(nonce) == 0);
                seen_us.emplace(nonce, now_us);
            }
            break;
        case 2:
            if (dsp_dispatch(record, nonce) == 0) {
                RC_ASSERT(never.count(nonce) == 0);
                RC_ASSERT(dispatched.insert(nonce).second);
            }
            break;
        case 3:
            if (dispatched.count(nonce) == 0) {
                dsp_refuse(record, nonce);
                if (seen_us.count(nonce) == 1) {
                    never.insert(nonce);
                }
            }
            break;
        default:
            if (dsp_cancel(record, nonce, now_us) == DSP_CONFIRMED &&
                !forgotten) {
                RC_ASSERT(dispatched.count(nonce) == 0);
                never.insert(nonce);
                seen_us.emplace(nonce, now_us);
            }
        }
    }
    dsp_free(record);
}

void
check_verdict()
{
    ocm truth;
    bool first = pick(0, 1) == 1;
    ocm_init(&truth, first);
    bool done = false;
    bool open = false; // an attempt that may have run
    bool settled = false;
    int attempts = pick(0, 6);
    for (int i = 0; i < attempts; i++) {
        int index = ocm_begin(&truth);
        RC_ASSERT(index == i);
        settled = false;
        switch (pick(0, 5)) {
        case 0:
            ocm_set(&truth, index, OCM_NOT_SENT);
            break;
        case 1:
            ocm_set(&truth, index, OCM_REFUSED);
            break;
        case 2:
            ocm_set(&truth, index, OCM_LOST);
            ocm_set(&truth, index, OCM_CANCELLED);
            break;
        case 3:
            ocm_set(&truth, index, OCM_LOST);
            ocm_set(&truth, index, OCM_REFUSED); // contradicts: stays lost
            open = true;
            break;
        case 4:
            ocm_set(&truth, index, OCM_DONE);
            ocm_set(&truth, index, OCM_LOST); // a late error: stays done
            done = true;
            break;
        default:
            ocm_set(&truth, index, OCM_REFUSED);
            ocm_settle(&truth);
            settled = true;
        }
    }
    enum outcome verdict = ocm_verdict(&truth);
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
    rty_case c{};
    c.end = (enum rty_end)pick(RTY_NOT_SENT, RTY_LOST);
    c.reason = (enum reason)pick(0, REASON_COUNT - 1);
    c.idempotent = pick(0, 1) == 1;
    c.budget = pick(0, 3);
    c.reroutes = pick(0, RTY_REROUTES_MAX + 1);
    c.left_us = pick(0, 20000);
    enum rty_action action = rty_decide(&c);
    if (action == RTY_SPEND || action == RTY_ASK) {
        RC_ASSERT(c.budget > 0);
    }
    if (action == RTY_REROUTE || action == RTY_OWNER) {
        RC_ASSERT(c.reroutes < RTY_REROUTES_MAX);
        RC_ASSERT(c.end != RTY_LOST);
    }
    if (!c.idempotent) {
        RC_ASSERT(action != RTY_SPEND);
    }
    if (c.left_us < RTY_TIME_LEFT_MIN_US) {
        RC_ASSERT(action == RTY_STOP);
    }
}

} // namespace

int
main()
{
    prop_tally tally;
    tally.check("what is cancelled or refused is never dispatched",
                check_dispatch_record);
    tally.check("the verdict follows from the attempts", check_verdict);
    tally.check("a retry has a budget, and a safe place to go",
                check_retries);
    return tally.finish();
}
