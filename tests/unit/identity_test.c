/* Whose request it is: header values, and what a node may say of a key that it
 * doesn't know. */
#include <criterion/criterion.h>
#include <string.h>

#include "lav/config_contact.h"
#include "lav/identity.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

typedef struct bearer_case {
    const char *value; /* NULL: no such field */
    const char *key;   /* NULL: malformed */
} bearer_case;

static const bearer_case bearer_cases[] = {
    {"Bearer abc", "abc"},
    {"bearer abc", "abc"},
    {"BEARER abc", "abc"},
    {"Bearer   abc", "abc"},
    {"Bearer abc  ", "abc"},
    {"Bearer a.b-c_d~e+f/g==", "a.b-c_d~e+f/g=="},
    {"Bearer abc def", NULL},
    {"Bearer abc,def", "abc,def"},
    {"Bearer a\tb", NULL},
    {"Bearer\tabc", NULL},
    {"Bearer a\x7f", NULL},
    {"Bearer \xc3\xa9", NULL},
    {"Bearer ", NULL},
    {"Bearer    ", NULL},
    {"Bearer", NULL},
    {"Bearerabc", NULL},
    {"Basic abc", NULL},
    {" Bearer abc", NULL},
    {"abc", NULL},
    {"", NULL},
    {NULL, NULL},
};

Test(identity, values_of_the_field)
{
    for (size_t i = 0; i < COUNT(bearer_cases); i++) {
        const bearer_case *c = &bearer_cases[i];
        const char *key = NULL;
        size_t length = 0;
        bool valid = identity_parse_bearer(
            &key, &length, c->value, c->value == NULL ? 0 : strlen(c->value));
        cr_expect_eq(valid, c->key != NULL, "\"%s\"", c->value);
        if (valid && c->key != NULL) {
            cr_expect(length == strlen(c->key) &&
                          memcmp(key, c->key, length) == 0,
                      "\"%s\"", c->value);
        }
    }
}

/* A value that is not terminated: no byte after it is read. */
Test(identity, values_are_not_terminated)
{
    const char *key = NULL;
    size_t length = 0;
    cr_expect(identity_parse_bearer(&key, &length, "Bearer abcdef", 10));
    cr_expect_eq(length, 3);
    cr_expect_not(identity_parse_bearer(&key, &length, "Bearer a", 7));
}

typedef struct verdict_case {
    bool has_workspaces;
    bool exempt;
    bool may_be_outdated;
    const char *key;
    enum identity_verdict verdict;
} verdict_case;

static const verdict_case verdict_cases[] = {
    {false, false, false, NULL, IDENTITY_NOT_ASKED},
    {false, false, true, "k1", IDENTITY_NOT_ASKED},
    {true, true, false, NULL, IDENTITY_NOT_ASKED},
    {true, true, true, "k1", IDENTITY_NOT_ASKED},
    {true, false, false, "k1", IDENTITY_KNOWN},
    {true, false, true, "k1", IDENTITY_KNOWN},
    {true, false, false, "k2", IDENTITY_UNKNOWN},
    {true, false, false, NULL, IDENTITY_UNKNOWN},
    {true, false, true, "k2", IDENTITY_UNSURE},
    {true, false, true, NULL, IDENTITY_UNSURE},
};

Test(identity, verdicts)
{
    workspace entry = {.name = "a", .priority = 2};
    const char *const keys[] = {"k1"};
    workspace_table *table = NULL;
    cr_assert_eq(workspace_table_new(&table), 0);
    cr_assert_eq(workspace_add(table, &entry, keys, 1), 0);
    for (size_t i = 0; i < COUNT(verdict_cases); i++) {
        const verdict_case *c = &verdict_cases[i];
        const workspace *found = &entry;
        identity_question question = {
            .workspaces = c->has_workspaces ? table : NULL,
            .exempt = c->exempt,
            .may_be_outdated = c->may_be_outdated,
            .key = c->key,
            .length = c->key == NULL ? 0 : strlen(c->key)};
        cr_expect_eq(identity_decide(&found, &question), c->verdict,
                     "case %zu", i);
        cr_expect_eq(found != NULL, c->verdict == IDENTITY_KNOWN, "case %zu",
                     i);
    }
    workspace_table_free(table);
}

/* A workspace's priority goes before the route's. */
Test(identity, priorities)
{
    workspace high = {.priority = 0};
    workspace low = {.priority = 1};
    cr_expect_lt(identity_priority(&high, 0), identity_priority(&high, 1));
    cr_expect_lt(identity_priority(&high, 1000000),
                 identity_priority(&low, 0));
    cr_expect_lt(identity_priority(&low, 0), identity_priority(&low, 3));
}

typedef struct contact_case {
    uint64_t peer_version; /* 0: no peer was heard */
    bool store;            /* answered */
    bool lost;             /* and then stopped */
    bool has_peers;
    int64_t silence_us;
    bool outdated;
} contact_case;

/* The node knows version 5. */
static const contact_case contact_cases[] = {
    {0, true, false, false, 0, false},
    {0, true, false, false, 60000000, false}, /* quiet, and alone */
    {0, true, false, true, 60000000, true},
    {5, true, false, true, CONFIG_CONTACT_SILENCE_US, false},
    {5, true, false, true, CONFIG_CONTACT_SILENCE_US + 1, true},
    {4, true, false, true, 0, false},
    {6, true, false, true, 0, true},
    {5, true, true, true, 0, true},
    {5, false, false, true, 0, true}, /* the store was never reached */
    {0, false, false, false, 0, true},
};

Test(identity, versions_that_may_be_outdated)
{
    for (size_t i = 0; i < COUNT(contact_cases); i++) {
        const contact_case *c = &contact_cases[i];
        config_contact contact = {0};
        if (c->store) {
            config_contact_hear_store(&contact, 1000);
        }
        if (c->lost) {
            config_contact_lose_store(&contact);
        }
        if (c->peer_version != 0) {
            config_contact_hear_peer(&contact, c->peer_version, 1000);
        }
        cr_expect_eq(config_contact_may_be_outdated(&contact, 5, c->has_peers,
                                                    1000 + c->silence_us),
                     c->outdated, "case %zu", i);
    }
}

/* An older version from another peer takes nothing back, and the store's
 * answer doesn't either. */
Test(identity, a_newer_version_stays_heard)
{
    config_contact contact = {0};
    config_contact_hear_peer(&contact, 6, 1000);
    config_contact_hear_peer(&contact, 4, 1000);
    config_contact_hear_store(&contact, 1000);
    cr_expect(config_contact_may_be_outdated(&contact, 5, true, 1000));
    cr_expect_not(config_contact_may_be_outdated(&contact, 6, true, 1000));
}
