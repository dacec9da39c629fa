/* Members that know of each other. */
#include <criterion/criterion.h>

#include "lav/member_view.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))
#define OWN_SEEN_US 1000 /* when a node reads its own entry */
#define NODES 12
#define FLEETS 300
#define START_US                                                              \
    4000000 /* in which the nodes of a fleet write their entries */
#define STEP_US 250000

TestSuite(member_view);

typedef struct view_case {
    bool listed;
    bool complete;
    bool earlier;
    bool own;
    int64_t waited_us; /* since its entry was seen, or all were listed */
    bool mutual;
} view_case;

static const view_case view_cases[] = {
    {false, false, false, false, 60000000, false}, /* a desired state only */
    {true, false, false, false, 60000000, false}, /* its entry isn't written */
    {false, false, false, true, 60000000, false},
    {true, false, false, true, MEMBER_VIEW_NEWS_US - 1, false},
    {true, false, false, true, MEMBER_VIEW_NEWS_US, true},
    {true, true, false, true, MEMBER_VIEW_NEWS_US - 1, false},
    {true, true, true, false, 0, true}, /* started again */
    /* Started again, but the store may lack entries after a restore. */
    {true, false, true, false, MEMBER_VIEW_NEWS_US - 1, false},
    {true, false, true, true, MEMBER_VIEW_NEWS_US - 1, false},
    {true, false, true, false, MEMBER_VIEW_NEWS_US, true},
    {false, true, true, false, 60000000, false},
};

Test(member_view, what_has_to_be_known)
{
    for (size_t i = 0; i < COUNT(view_cases); i++) {
        const view_case *c = &view_cases[i];
        member_view view = {0};
        if (c->listed) {
            member_view_note_list(&view, OWN_SEEN_US);
            member_view_note_list(&view, OWN_SEEN_US + c->waited_us);
        }
        if (c->complete) {
            member_view_note_complete(&view);
        }
        if (c->earlier) {
            member_view_note_earlier(&view);
        }
        if (c->own) {
            member_view_note_own(&view, OWN_SEEN_US);
            member_view_note_own(&view, OWN_SEEN_US + c->waited_us);
        }
        cr_expect_eq(member_view_is_mutual(&view, OWN_SEEN_US + c->waited_us),
                     c->mutual, "case %zu", i);
    }
}

/* A number from 0 to `max`, from a fixed sequence. */
static int64_t
draw(uint64_t *state, int64_t max)
{
    *state = *state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (int64_t)((*state >> 33) % (uint64_t)(max + 1));
}

/* Fleets of nodes that start for the first time, whose news are late: those
 * that take a part at a time take one in all at most. */
Test(member_view, new_nodes_take_no_more_than_there_is)
{
    uint64_t state = 1;
    for (int fleet = 0; fleet < FLEETS; fleet++) {
        int64_t written_us[NODES];
        int64_t late_us[NODES][NODES];
        for (int x = 0; x < NODES; x++) {
            written_us[x] = draw(&state, START_US);
            for (int y = 0; y < NODES; y++) {
                late_us[x][y] = draw(&state, MEMBER_VIEW_NEWS_US);
            }
        }
        for (int64_t now_us = 0;
             now_us < START_US + 3 * (int64_t)MEMBER_VIEW_NEWS_US;
             now_us += STEP_US) {
            double parts = 0;
            for (int x = 0; x < NODES; x++) {
                member_view view = {0};
                int64_t seen_us = written_us[x] + late_us[x][x];
                int known = 0;
                for (int y = 0; y < NODES; y++) {
                    /* What was written before its own is seen with that. */
                    known +=
                        now_us >= written_us[y] + late_us[x][y] ||
                        (written_us[y] <= written_us[x] && now_us >= seen_us);
                }
                member_view_note_list(&view, 0);
                if (now_us >= seen_us) {
                    member_view_note_own(&view, seen_us);
                }
                parts +=
                    member_view_is_mutual(&view, now_us) ? 1.0 / known : 0;
            }
            cr_assert_leq(parts, 1 + 1e-9, "fleet %d at %lld us: %f", fleet,
                          (long long)now_us, parts);
        }
    }
}
