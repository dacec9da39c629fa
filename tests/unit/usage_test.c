/* Messages about usage caps, and the two sides of a cap. */
#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#include "lav/clock.h"
#include "lav/usage_owner.h"
#include "lav/usage_share.h"
#include "usage_message.h"

#define SELF 7U
#define PATIENCE_US 0
#define TIMER_US 50000 /* period of a node's timer */

static workspace usage_caps[] = {
    {.name = "small", .id = 1, .rate_per_s = 2, .burst = 2},
    {.name = "free", .id = 2},
    {.name = "no burst", .id = 9, .rate_per_s = 1000}};

/* Looks up a workspace of the tests. */
static const workspace *
usage_find(uint32_t id, void *payload)
{
    (void)payload;
    for (size_t i = 0; i < sizeof(usage_caps) / sizeof(usage_caps[0]); i++) {
        if (usage_caps[i].id == id) {
            return &usage_caps[i];
        }
    }
    return NULL;
}

/* Sends all messages that are due for a slot to the owner, at once. */
static void
usage_exchange(usage_share *share, usage_owner *owner, int slot,
               int64_t now_us)
{
    usage_message message;
    usage_answer answer;
    while (usage_share_poll(&message, share, slot, now_us)) {
        usage_owner_handle(&answer, owner, &message.ask, 1, now_us);
        usage_share_answered(share, &message, &answer, now_us);
    }
}

Test(usage, messages_are_read_as_they_were_written)
{
    usage_ask ask = {.slot = 3,
                     .lender = UINT64_MAX,
                     .sequence = 5,
                     .epoch = 9,
                     .until_us = 123456789,
                     .members = 71,
                     .version = 4,
                     .quiet_us = 99,
                     .count = 2,
                     .wants = {{1, 2, 0, 0}, {UINT32_MAX, 1, 3, 77}}};
    usage_ask read;
    bytebuf path = {0};
    usage_message_write_ask(&path, &ask);
    http_str text = {bytebuf_data(&path), bytebuf_length(&path)};
    cr_assert_eq(usage_message_read_ask(&read, text), 0);
    cr_expect_eq(read.slot, 3);
    cr_expect_eq(read.lender, UINT64_MAX);
    cr_expect_eq(read.until_us, 123456789);
    cr_expect_eq(read.quiet_us, 99);
    cr_expect_eq(read.count, 2);
    cr_expect_eq(read.wants[1].workspace, UINT32_MAX);
    cr_expect_eq(read.wants[1].granted_us, 77);
    bytebuf_clear(&path);

    usage_answer answer = {.epoch = 9,
                           .stamp_us = 55,
                           .version = 4,
                           .leaving = true,
                           .settling = true,
                           .count = 2,
                           .grants = {{1, 2, 0}, {4, -1, 0}}};
    usage_answer got;
    char *json = usage_message_write_answer(&answer);
    cr_assert_eq(usage_message_read_answer(&got, json, strlen(json)), 0);
    cr_expect_eq(got.epoch, 9U);
    cr_expect(got.leaving);
    cr_expect(got.settling);
    cr_expect_eq(got.grants[1].count, -1);
    free(json);
}

Test(usage, messages_of_other_forms_are_not_read)
{
    static const char *const paths[] = {
        "",
        "/lav/usage/",
        "/lav/usage/1/2/3/4/5/6",
        "/lav/usage/8/2/3/4/5/6/7",
        "/lav/usage/1/2/3/4/5/0/7",
        "/lav/usage/1/2/3/4/5/2049/7",
        "/lav/usage/-1/2/3/4/5/6/7",
        "/lav/usage/1/2/3/4/5/6/7/1",
        "/lav/usage/1/2/3/4/5/6/7/q",
        "/lav/usage/1/2/3/4/5/6/7/q-1",
        "/lav/usage/1/2/3/4/5/6/7/q1/1",
        "/lav/usage/1/2/3/4/5/6/7/1/1/0/0/q1",
        "/lav/usage/1/2/3/4/5/6/7/1/2/3/x",
        "/lav/usage/1/2/3/4/5/6/7/1/100001/0/0",
        "/lav/usage/1/2/3/4/99999999999999999999/6/7"};
    static const char *const answers[] = {
        "",
        "[]",
        "{}",
        "{\"epoch\":0,\"stamp_us\":1,\"version\":1,\"leaving\":false,"
        "\"grants\":[]}",
        "{\"epoch\":1,\"stamp_us\":-1,\"version\":1,\"leaving\":false,"
        "\"grants\":[]}",
        "{\"epoch\":1,\"stamp_us\":1,\"version\":1,\"leaving\":false,"
        "\"grants\":[[1,2]]}",
        "{\"epoch\":1,\"stamp_us\":1,\"version\":1,\"leaving\":false,"
        "\"grants\":[[0,2,3]]}",
        "{\"epoch\":1,\"stamp_us\":1,\"version\":1,\"leaving\":false,"
        "\"grants\":[[1,100001,3]]}",
        "{\"epoch\":1,\"stamp_us\":1,\"version\":1,\"leaving\":false,"
        "\"grants\":[[1,-2,3]]}",
        "{\"epoch\":1,\"stamp_us\":1,\"version\":1,\"leaving\":false,"
        "\"grants\":[[1,1,9000000]]}"};
    usage_ask ask;
    usage_answer answer;
    for (size_t i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
        http_str path = {paths[i], strlen(paths[i])};
        cr_expect_lt(usage_message_read_ask(&ask, path), 0, "%s", paths[i]);
    }
    for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
        cr_expect_lt(
            usage_message_read_answer(&answer, answers[i], strlen(answers[i])),
            0, "%s", answers[i]);
    }
}

Test(usage, nothing_is_granted_before_members_are_known)
{
    usage_share *share = NULL;
    usage_token token;
    int64_t retry_us = 0;
    usage_message message;
    cr_assert_eq(usage_share_new(&share, SELF, 1, 0), 0);
    cr_expect_eq(
        usage_share_take(&token, &retry_us, share, 1, PATIENCE_US, 10000000),
        USAGE_UNCHECKED);
    cr_expect_gt(retry_us, 0);
    cr_expect_not(usage_share_poll(&message, share, 1, 10000000));
    usage_share_free(share);
}

/* A node that lends to itself, from 2 s after its start on. */
typedef struct usage_pair {
    usage_share *share;
    usage_owner *owner;
    usage_token token;
    int64_t retry_us;
    int64_t now_us;
} usage_pair;

static void
usage_pair_start(usage_pair *pair)
{
    usage_member self = {SELF, true};
    *pair = (usage_pair){.now_us = 2 * CLOCK_US_PER_S};
    cr_assert_eq(usage_share_new(&pair->share, SELF, 1, 0), 0);
    cr_assert_eq(usage_owner_new(&pair->owner, 3, usage_find, NULL), 0);
    usage_share_set_members(pair->share, &self, 1, 0);
}

static void
usage_pair_stop(usage_pair *pair)
{
    usage_share_free(pair->share);
    usage_owner_free(pair->owner);
}

/* Lends the share of slot 1 again and again until a time. */
static void
usage_pair_renew(usage_pair *pair, int64_t until_us)
{
    for (; pair->now_us < until_us; pair->now_us += TIMER_US) {
        usage_exchange(pair->share, pair->owner, 1, pair->now_us);
    }
    pair->now_us = until_us;
}

/* Takes one request of a workspace. */
static enum usage_decision
usage_pair_take(usage_pair *pair, uint32_t workspace)
{
    return usage_share_take(&pair->token, &pair->retry_us, pair->share,
                            workspace, PATIENCE_US, pair->now_us);
}

/* Asks the owner, and decides on the request that waits. */
static enum usage_decision
usage_pair_ask(usage_pair *pair, uint32_t workspace)
{
    usage_exchange(pair->share, pair->owner, usage_cap_slot(workspace),
                   pair->now_us);
    return usage_share_settle(&pair->token, &pair->retry_us, pair->share,
                              workspace, PATIENCE_US, pair->now_us);
}

Test(usage, a_cap_that_is_used_up_says_when_to_return)
{
    usage_pair pair;
    enum usage_decision decision = USAGE_GRANTED;
    int granted = 0;
    usage_pair_start(&pair);
    usage_pair_renew(&pair, 8 * CLOCK_US_PER_S);
    for (int i = 0; i < 20 && decision != USAGE_OVER_CAP; i++) {
        decision = usage_pair_take(&pair, 1);
        if (decision == USAGE_WAIT) {
            decision = usage_pair_ask(&pair, 1);
        }
        granted += decision == USAGE_GRANTED ? 1 : 0;
    }
    cr_assert_eq(decision, USAGE_OVER_CAP);
    cr_expect_eq(granted, 2 + (int)USAGE_CAP_SLACK);
    usage_pair_renew(&pair, pair.now_us + pair.retry_us);
    cr_expect_eq(usage_pair_take(&pair, 1), USAGE_WAIT);
    cr_expect_eq(usage_pair_ask(&pair, 1), USAGE_GRANTED);
    usage_pair_stop(&pair);
}

Test(usage, requests_given_back_are_granted_again)
{
    usage_pair pair;
    usage_pair_start(&pair);
    usage_pair_renew(&pair, 4 * CLOCK_US_PER_S);
    cr_assert_eq(usage_pair_take(&pair, 1), USAGE_WAIT);
    cr_assert_eq(usage_pair_ask(&pair, 1), USAGE_GRANTED);
    usage_share_return(pair.share, &pair.token, pair.now_us);
    cr_expect_eq(usage_pair_take(&pair, 1), USAGE_GRANTED, "it is in hand");
    usage_share_return(pair.share, &pair.token, pair.now_us);
    pair.now_us += USAGE_CAP_GRANT_US;
    cr_expect_eq(usage_pair_take(&pair, 1), USAGE_WAIT, "it has expired");
    usage_pair_stop(&pair);
}

Test(usage, workspaces_without_a_cap_or_unknown_to_the_owner)
{
    static const struct {
        uint32_t workspace;
        enum usage_decision decision;
    } cases[] = {{2, USAGE_GRANTED}, {3, USAGE_UNCHECKED}};
    usage_pair pair;
    usage_pair_start(&pair);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        uint32_t id = cases[i].workspace;
        cr_assert_eq(usage_pair_take(&pair, id), USAGE_WAIT);
        cr_expect_eq(usage_pair_ask(&pair, id), cases[i].decision);
    }
    usage_pair_stop(&pair);
}

/* What a request meets that comes while the node may not lend yet.  Times are
 * since the node's start; the hold ends at 505 ms. */
static const struct usage_hold_case {
    const char *what;
    int64_t at_us;
    int64_t patience_us;
    bool members_known;
    bool stopping;
    enum usage_decision decision;
} usage_hold_cases[] = {
    {"waits for the end", 100000, 405000, true, false, USAGE_WAIT},
    {"can't wait for it", 100000, 404000, true, false, USAGE_UNCHECKED},
    {"nearly over", 300000, 0, true, false, USAGE_WAIT},
    {"no end is known", 100000, 4000000, false, false, USAGE_UNCHECKED},
    {"the node stops", 600000, 4000000, true, true, USAGE_UNCHECKED},
};

Test(usage, requests_wait_for_the_end_of_the_hold_if_they_can)
{
    for (size_t i = 0;
         i < sizeof(usage_hold_cases) / sizeof(usage_hold_cases[0]); i++) {
        const struct usage_hold_case *c = &usage_hold_cases[i];
        usage_share *share = NULL;
        usage_token token;
        int64_t retry_us = 0;
        usage_member self = {SELF, true};
        cr_assert_eq(usage_share_new(&share, SELF, 1, 0), 0);
        if (c->members_known) {
            usage_share_set_members(share, &self, 1, 0);
        }
        if (c->stopping) {
            usage_share_stop(share);
        }
        cr_expect_eq(usage_share_take(&token, &retry_us, share, 1,
                                      c->patience_us, c->at_us),
                     c->decision, "%s", c->what);
        cr_expect_gt(retry_us, 0, "%s", c->what);
        usage_share_free(share);
    }
}

/* Table of what an owner grants to the last of some lenders.  Times are
 * relative to the first ask. */
#define LENDERS_MAX 3
#define LEASE_US 500000

static const struct usage_credit_case {
    const char *what;
    int members;
    int lenders;
    int64_t quiet_us[LENDERS_MAX]; /* 0: not stated */
    int64_t apart_us;              /* between two asks */
    int granted;
} usage_credit_cases[] = {
    {"one node", 1, 1, {-1000000}, 0, 2},
    {"since the last start", 2, 2, {-1000000, -500000}, 0, 1},
    {"the whole burst at most", 2, 2, {-90000000, -90000000}, 0, 7},
    {"three nodes", 3, 3, {-1000000, -1500000, -2000000}, 0, 2},
    {"all lend soon", 2, 2, {-1000000, -1000000}, 400000, 2},
    {"all lend late", 2, 2, {-1000000, -1000000}, 500000, 0},
    {"a node is missing", 2, 1, {-9000000}, 0, 0},
    {"one of three is missing", 3, 2, {-9000000, -9000000}, 0, 0},
    {"one doesn't say", 2, 2, {-9000000, 0}, 0, 0},
    {"one says what can't be", 2, 2, {-9000000, 1000000}, 0, 0},
};

Test(usage, an_owner_begins_with_what_accrued_since_all_were_quiet)
{
    for (size_t i = 0;
         i < sizeof(usage_credit_cases) / sizeof(usage_credit_cases[0]); i++) {
        const struct usage_credit_case *c = &usage_credit_cases[i];
        usage_owner *owner = NULL;
        usage_answer answer = {0};
        int64_t now_us = 100 * CLOCK_US_PER_S;
        cr_assert_eq(usage_owner_new(&owner, 3, usage_find, NULL), 0);
        for (int j = 0; j < c->lenders; j++) {
            int64_t quiet_us = c->quiet_us[j];
            usage_ask ask = {.slot = 1,
                             .lender = (uint64_t)(j + 1),
                             .sequence = 1,
                             .epoch = 3,
                             .until_us = now_us + LEASE_US + 1,
                             .members = c->members,
                             .quiet_us = quiet_us == 0
                                             ? 0
                                             : 100 * CLOCK_US_PER_S + quiet_us,
                             .count = 1,
                             .wants = {{1, 100, 0, 0}}};
            usage_owner_handle(&answer, owner, &ask, c->members, now_us);
            now_us += c->apart_us;
        }
        cr_expect_eq(answer.grants[0].count, c->granted, "%s: %d", c->what,
                     answer.grants[0].count);
        usage_owner_free(owner);
    }
}

/* Lends half of slot 1 to an owner and asks for "no burst"; what is granted. */
static int
usage_lend_half(usage_owner *owner, uint64_t lender, uint64_t sequence,
                int64_t now_us)
{
    usage_answer answer;
    usage_ask ask = {.slot = 1,
                     .lender = lender,
                     .sequence = sequence,
                     .epoch = 3,
                     .until_us = now_us + LEASE_US,
                     .members = 2,
                     .quiet_us = CLOCK_US_PER_S,
                     .count = 1,
                     .wants = {{9, 100, 0, 0}}};
    usage_owner_handle(&answer, owner, &ask, 2, now_us);
    return answer.grants[0].count;
}

Test(usage, a_bucket_that_was_full_is_given_less)
{
    usage_owner *owner = NULL;
    int64_t now_us = 10 * CLOCK_US_PER_S;
    cr_assert_eq(usage_owner_new(&owner, 3, usage_find, NULL), 0);
    cr_expect_eq(usage_lend_half(owner, 1, 1, now_us), 0);
    now_us += 400000;
    cr_expect_eq(usage_lend_half(owner, 1, 2, now_us), 2);
    cr_expect_eq(usage_lend_half(owner, 2, 1, now_us), 3);
    usage_owner_free(owner);
}
