// Retry budget of a call chain: whichever calls fail and whichever replies are
// lost, the extra attempts below a root request never exceed its budget.
#include "prop.hpp"

#include "lav/retry_ledger.h"
#include "lav/seen_request.h"

namespace {

struct chain {
    retry_ledger_table *ledgers = nullptr;
    uint64_t next_token = 1;
    int extra = 0; // attempts beyond the first of each call

    chain()
    {
        RC_ASSERT(retry_ledger_new(&ledgers, 64) == 0);
    }

    ~chain()
    {
        retry_ledger_free(ledgers);
    }

    // One call with `budget` extra attempts; returns the unused rest.
    int
    call(int depth, int budget)
    {
        for (;;) {
            int granted = depth < 7 ? budget / 2 : 0;
            budget -= granted;
            int left = serve(depth, granted);
            bool reply_lost = pick(0, 2) == 0;
            budget += reply_lost ? 0 : left;
            bool failed = reply_lost || pick(0, 1) == 0;
            if (!failed || budget == 0) {
                return budget;
            }
            budget--;
            extra++;
        }
    }

    // A target runs a call and makes up to three downstream calls; returns the
    // unused budget.
    int
    serve(int depth, int budget)
    {
        uint64_t token = next_token++;
        RC_ASSERT(retry_ledger_open(ledgers, token, budget) == 0);
        int calls = depth < 7 ? pick(0, 3) : 0;
        for (int i = 0; i < calls; i++) {
            bool context_dropped = pick(0, 4) == 0;
            uint64_t used_token = context_dropped ? 999999 : token;
            int share = retry_ledger_share_of(
                retry_ledger_left(ledgers, used_token), calls - i);
            share = retry_ledger_take(ledgers, used_token, share);
            RC_ASSERT(!context_dropped || share == 0);
            RC_ASSERT(retry_ledger_take(ledgers, 999999, pick(1, 3)) == 0);
            int left = call(depth + 1, share);
            // A reply may claim more than was granted, or arrive twice.
            int claimed = left == share ? left + pick(0, 1) * 50 : left;
            retry_ledger_settle(ledgers, used_token, share, claimed);
            if (pick(0, 1)) {
                retry_ledger_settle(ledgers, used_token, share, 50);
            }
        }
        return retry_ledger_close(ledgers, token);
    }
};

} // namespace

int
main()
{
    prop_runner runner;
    runner.check("extra attempts stay within the root's budget", [] {
        chain c;
        int budget = pick(0, 6);
        int left = c.call(1, budget);
        RC_ASSERT(left >= 0);
        RC_ASSERT(c.extra + left <= budget);
    });
    runner.check("repeated requests of a caller spend the same budget", [] {
        seen_request_table *seen = nullptr;
        RC_ASSERT(seen_request_new(&seen, 8) == 0);
        int budget = pick(0, 5);
        int extra = 0;
        for (int i = 0; i < 12; i++) {
            seen_request_history now =
                seen_request_add(seen, "1-aaaaaaaa", budget, i);
            if (now.budget < 0) {
                seen_request_finish(seen, "1-aaaaaaaa", 0, false);
                continue;
            }
            extra += i > 0 ? 1 : 0;
            int spent = pick(0, now.budget);
            extra += spent;
            seen_request_finish(seen, "1-aaaaaaaa", now.budget - spent,
                                    false);
        }
        RC_ASSERT(extra <= budget);
        seen_request_free(seen);
    });
    return runner.finish();
}
