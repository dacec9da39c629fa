/* Which nodes read the desired state from the store, and when the others may
 * rely on them. */
#include <criterion/criterion.h>
#include <stdio.h>

#include "lav/config_contact.h"
#include "lav/store_news.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))
#define NOW_US 50000000

/* A fleet of `nodes` nodes, spread evenly over `zones` zones. */
static instance_table *
make_fleet(int nodes, int zones)
{
    instance_table *fleet = NULL;
    cr_assert_eq(instance_new(&fleet, 1), 0);
    for (int i = 0; i < nodes; i++) {
        instance_record record = {.incarnation = 1,
                                  .sequence = 1,
                                  .state = INSTANCE_READY,
                                  .slots = 10};
        snprintf(record.node, sizeof(record.node), "node-%d", i);
        snprintf(record.instance, sizeof(record.instance), "instance-%d", i);
        snprintf(record.service, sizeof(record.service), "service");
        snprintf(record.zone, sizeof(record.zone), "zone-%d", i % zones);
        cr_assert(instance_update(fleet, &record));
    }
    return fleet;
}

/* What node `i` chooses. */
static store_news
choose_at(const instance_table *fleet, int i)
{
    store_news news = {.shared = true};
    char self[32];
    snprintf(self, sizeof(self), "node-%d", i);
    store_news_choose(&news, fleet, self, NOW_US);
    return news;
}

/* How many of the nodes hold themselves to be readers. */
static int
count_readers(const instance_table *fleet, int nodes)
{
    int readers = 0;
    for (int i = 0; i < nodes; i++) {
        readers += choose_at(fleet, i).is_reader;
    }
    return readers;
}

typedef struct choice_case {
    int nodes;
    int zones;
    int readers; /* that hold themselves to be so */
} choice_case;

static const choice_case choice_cases[] = {
    {1, 1, 1},   {11, 1, 11},  {12, 1, 3},    {15, 2, 15},   {16, 2, 4},
    {23, 3, 23}, {24, 3, 6},   {77, 3, 6},    {300, 3, 6},   {1018, 3, 6},
    {14, 7, 14}, {64, 16, 64}, {128, 16, 32}, {200, 20, 32},
};

Test(news, who_reads)
{
    for (size_t i = 0; i < COUNT(choice_cases); i++) {
        const choice_case *c = &choice_cases[i];
        instance_table *fleet = make_fleet(c->nodes, c->zones);
        int readers = count_readers(fleet, c->nodes);
        cr_expect_eq(readers, c->readers, "%d nodes, %d zones: %d read",
                     c->nodes, c->zones, readers);
        instance_free(fleet);
    }
}

/* Each zone has two readers, so that the loss of a zone leaves others. */
Test(news, readers_of_each_zone)
{
    instance_table *fleet = make_fleet(77, 3);
    store_news news = choose_at(fleet, 0);
    int of_zone[3] = {0};
    for (int i = 0; i < news.reader_count; i++) {
        of_zone[instance_get(fleet, news.readers[i])->zone[5] - '0']++;
    }
    for (int i = 0; i < 3; i++) {
        cr_expect_eq(of_zone[i], STORE_NEWS_READERS_PER_ZONE);
    }
    instance_free(fleet);
}

/* Another node takes the place of one that can't be reached or that stops; a
 * node that isn't in its own fleet yet asks. */
Test(news, readers_are_replaced)
{
    instance_table *fleet = make_fleet(77, 3);
    store_news before = choose_at(fleet, 0);
    instance_mark_unreachable(fleet, before.readers[0], NOW_US);
    instance_record stopping = *instance_get(fleet, before.readers[1]);
    stopping.state = INSTANCE_STOPPING;
    stopping.sequence++;
    cr_assert(instance_update(fleet, &stopping));
    store_news after = choose_at(fleet, 0);
    cr_expect_eq(after.reader_count, before.reader_count);
    for (int i = 0; i < after.reader_count; i++) {
        cr_expect_neq(after.readers[i], before.readers[0]);
        cr_expect_neq(after.readers[i], before.readers[1]);
    }
    cr_expect_not(choose_at(fleet, 1000).is_reader);
    instance_free(fleet);
}

/* Each reader is asked in turn, this node never. */
Test(news, who_is_asked)
{
    instance_table *fleet = make_fleet(77, 3);
    store_news news = choose_at(fleet, 0);
    int self = news.readers[2];
    int asked[80] = {0};
    for (int i = 0; i < 10; i++) {
        asked[store_news_next_reader(&news, self)]++;
    }
    for (int i = 0; i < news.reader_count; i++) {
        cr_expect_eq(asked[news.readers[i]], i == 2 ? 0 : 2);
    }
    store_news alone = {.readers = {self}, .reader_count = 1};
    cr_expect_eq(store_news_next_reader(&alone, self), INSTANCE_NONE);
    store_news none = {0};
    cr_expect_eq(store_news_next_reader(&none, self), INSTANCE_NONE);
    instance_free(fleet);
}

typedef struct verdict_case {
    uint64_t version;
    bool reads;
    enum store_news_verdict verdict; /* at a node with version 5 */
} verdict_case;

static const verdict_case verdict_cases[] = {
    {5, true, STORE_NEWS_CONFIRMED}, {5, false, STORE_NEWS_UNKNOWN},
    {4, true, STORE_NEWS_UNKNOWN},   {4, false, STORE_NEWS_UNKNOWN},
    {6, true, STORE_NEWS_NEWER},     {6, false, STORE_NEWS_NEWER},
};

Test(news, what_an_answer_says)
{
    for (size_t i = 0; i < COUNT(verdict_cases); i++) {
        const verdict_case *c = &verdict_cases[i];
        cr_expect_eq(store_news_judge(c->version, c->reads, 5), c->verdict,
                     "version %d, reads %d", (int)c->version, c->reads);
    }
}

typedef struct wait_case {
    bool shared;
    bool is_reader;
    int64_t confirmed_us; /* ago; -1: never */
    bool waits;
} wait_case;

static const wait_case wait_cases[] = {
    {true, false, 0, true},
    {true, false, STORE_NEWS_SILENCE_US, true},
    {true, false, STORE_NEWS_SILENCE_US + 1, false},
    {true, false, -1, false},
    {true, true, 0, false},
    {false, false, 0, false},
};

Test(news, when_a_node_need_not_read)
{
    for (size_t i = 0; i < COUNT(wait_cases); i++) {
        const wait_case *c = &wait_cases[i];
        store_news news = {.shared = c->shared, .is_reader = c->is_reader};
        if (c->confirmed_us >= 0) {
            store_news_confirm(&news, NOW_US - c->confirmed_us);
            store_news_confirm(&news, NOW_US - 2 * STORE_NEWS_SILENCE_US);
        }
        cr_expect_eq(store_news_may_wait(&news, NOW_US), c->waits, "case %zu",
                     i);
    }
}

typedef struct check_case {
    const char *name;
    store_news news;
    int drawn_for;
    int fleet; /* nodes known now */
    int due;   /* of 100 times */
} check_case;

static const check_case check_cases[] = {
    {"all read, none was told to check less", {0}, 2, 40, 100},
    {"the fleet has become known",
     {.shared = true, .is_reader = true},
     2,
     40,
     5},
    {"the fleet is as it was",
     {.shared = true, .is_reader = true},
     40,
     40,
     100},
    {"a reader",
     {.shared = true, .is_reader = true, .reader_count = 6},
     6,
     78,
     100},
    {"a reader since the time was drawn",
     {.shared = true, .is_reader = true, .reader_count = 6},
     78,
     78,
     100},
    {"not a reader, but reads", {.shared = true, .reader_count = 4}, 4, 80, 5},
    {"told by readers",
     {.shared = true, .reader_count = 6, .confirmed_us = NOW_US},
     6,
     78,
     0},
};

/* All nodes that read check once a second together. */
Test(news, checks)
{
    for (size_t i = 0; i < COUNT(check_cases); i++) {
        const check_case *c = &check_cases[i];
        int due = 0;
        for (int k = 0; k < 100; k++) {
            due += store_news_check_is_due(&c->news, c->drawn_for, c->fleet,
                                           k / 100.0, NOW_US);
        }
        cr_expect_eq(due, c->due, "%s: %d", c->name, due);
    }
    store_news news = {.shared = true, .reader_count = 6};
    cr_expect_eq(store_news_drawn_nodes(&news, 78), 6);
    news.shared = false;
    cr_expect_eq(store_news_drawn_nodes(&news, 78), 78);
}

/* A node that doesn't read holds its version for the newest while readers
 * confirm it, unless one has named a newer one. */
Test(news, confirmed_versions_may_not_be_outdated)
{
    config_contact contact = {0};
    config_contact_hear_peer(&contact, 5, NOW_US);
    cr_expect(config_contact_may_be_outdated(&contact, 5, true, NOW_US));
    config_contact_hear_reader(&contact, NOW_US + 100);
    config_contact_hear_reader(&contact, NOW_US + 50);
    cr_expect_not(
        config_contact_may_be_outdated(&contact, 5, true, NOW_US + 99));
    cr_expect(config_contact_may_be_outdated(&contact, 5, true, NOW_US + 100));
    config_contact_hear_peer(&contact, 6, NOW_US);
    cr_expect(config_contact_may_be_outdated(&contact, 5, true, NOW_US));
}
