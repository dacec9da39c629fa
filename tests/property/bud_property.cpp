// Retries of a whole chain: whatever fails and whatever replies are lost,
// the extra attempts below a root never exceed the root's budget.
#include "prop.hpp"

#include "lav/bud.h"
#include "lav/sen.h"

namespace
{

struct chain {
    bud *ledgers = nullptr;
    uint64_t next_token = 1;
    int extra = 0; // attempts beyond the first of each call

    chain()
    {
        RC_ASSERT(bud_new(&ledgers, 64) == 0);
    }

    ~chain()
    {
        bud_free(ledgers);
    }

    // One call with `budget` extra attempts; returns what is left of it.
    int
    call(int depth, int budget)
    {
        for (;;) {
            int lent = depth < 7 ? budget / 2 : 0;
            budget -= lent;
            int left = serve(depth, lent);
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

    // A target runs a call and makes up to three of its own.
    int
    serve(int depth, int budget)
    {
        uint64_t token = next_token++;
        RC_ASSERT(bud_open(ledgers, token, budget) == 0);
        int calls = depth < 7 ? pick(0, 3) : 0;
        for (int i = 0; i < calls; i++) {
            bool context_dropped = pick(0, 4) == 0;
            uint64_t named = context_dropped ? 999999 : token;
            int share = bud_share(bud_left(ledgers, named), calls - i);
            share = bud_take(ledgers, named, share);
            RC_ASSERT(!context_dropped || share == 0);
            RC_ASSERT(bud_take(ledgers, 999999, pick(1, 3)) == 0);
            int left = call(depth + 1, share);
            // A reply may claim more than was lent, or come twice.
            int claimed = left == share ? left + pick(0, 1) * 50 : left;
            bud_settle(ledgers, named, share, claimed);
            if (pick(0, 1)) {
                bud_settle(ledgers, named, share, 50);
            }
        }
        return bud_close(ledgers, token);
    }
};

} // namespace

int
main()
{
    prop_tally tally;
    tally.check("extra attempts stay within the root's budget", [] {
        chain c;
        int budget = pick(0, 6);
        int left = c.call(1, budget);
        RC_ASSERT(left >= 0);
        RC_ASSERT(c.extra + left <= budget);
    });
    tally.check("a caller's repetitions spend the same budget", [] {
        sen *seen = nullptr;
        RC_ASSERT(sen_new(&seen, 8) == 0);
        int budget = pick(0, 5);
        int extra = 0;
        for (int i = 0; i < 12; i++) {
            sen_seen now = sen_arrive(seen, "1-aaaaaaaa", budget, i);
            if (now.budget < 0) {
                sen_answered(seen, "1-aaaaaaaa", 0, false);
                continue;
            }
            extra += i > 0 ? 1 : 0;
            int spent = pick(0, now.budget);
            extra += spent;
            sen_answered(seen, "1-aaaaaaaa", now.budget - spent, false);
        }
        RC_ASSERT(extra <= budget);
        sen_free(seen);
    });
    return tally.finish();
}
