/* Which life of the store an answer belongs to. */
#include <criterion/criterion.h>

#include "lav/store_era.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))
#define STEPS 5

typedef struct answer {
    bool named;
    uint64_t era;
    enum store_era_order expected;
} answer;

typedef struct era_case {
    const char *name;
    answer answers[STEPS];
} era_case;

static const era_case era_cases[] = {
    {"never named", {{false, 0, STORE_ERA_PRESENT}}},
    {"the first one is the present one",
     {{true, 7, STORE_ERA_PRESENT}, {true, 7, STORE_ERA_PRESENT}}},
    {"era 0 is an era",
     {{true, 0, STORE_ERA_PRESENT},
      {true, 0, STORE_ERA_PRESENT},
      {true, 1, STORE_ERA_NEWER},
      {true, 1, STORE_ERA_PRESENT}}},
    {"named after answers without one",
     {{false, 0, STORE_ERA_PRESENT},
      {true, 3, STORE_ERA_PRESENT},
      {false, 0, STORE_ERA_PRESENT},
      {true, 4, STORE_ERA_NEWER}}},
    {"two restores, of which one was seen",
     {{true, 1, STORE_ERA_PRESENT},
      {true, 3, STORE_ERA_NEWER},
      {true, 2, STORE_ERA_OLDER},
      {true, 3, STORE_ERA_PRESENT}}},
    {"a late answer",
     {{true, 1, STORE_ERA_PRESENT},
      {true, 2, STORE_ERA_NEWER},
      {true, 1, STORE_ERA_OLDER},
      {true, 2, STORE_ERA_PRESENT},
      {true, 1, STORE_ERA_OLDER}}},
};

Test(store_era, order_of_answers)
{
    for (size_t i = 0; i < COUNT(era_cases); i++) {
        const era_case *c = &era_cases[i];
        store_era era = {0};
        for (size_t j = 0; j < STEPS; j++) {
            const answer *a = &c->answers[j];
            cr_expect_eq(store_era_note(&era, a->named, a->era), a->expected,
                         "%s, answer %zu", c->name, j);
        }
    }
}
