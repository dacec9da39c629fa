/* Replies of other nodes: which ones are those to an attempt and can be
 * relayed. */
#include <criterion/criterion.h>

#include "lav/correlation.h"
#include "lav/msg.h"

#define NONCE 77

typedef struct reply_case {
    const char *name;
    enum msg_kind kind;
    uint64_t nonce;
    enum outcome outcome;
    int status;
    bool intact; /* the checksum is that of the body */
    bool taken;
} reply_case;

static const reply_case reply_cases[] = {
    {"done", MSG_REPLY, NONCE, OUTCOME_DONE, 200, true, true},
    {"last status", MSG_REPLY, NONCE, OUTCOME_DONE, 599, true, true},
    {"not run, no status", MSG_REPLY, NONCE, OUTCOME_NOT_RUN, 0, true, true},
    {"unknown, no status", MSG_REPLY, NONCE, OUTCOME_UNKNOWN, 0, true, true},
    {"another kind", MSG_OBJECT, NONCE, OUTCOME_DONE, 200, true, false},
    {"another attempt", MSG_REPLY, NONCE + 1, OUTCOME_DONE, 200, true, false},
    {"another body", MSG_REPLY, NONCE, OUTCOME_DONE, 200, false, false},
    {"status 000", MSG_REPLY, NONCE, OUTCOME_DONE, 0, true, false},
    {"negative status", MSG_REPLY, NONCE, OUTCOME_DONE, -200, true, false},
    {"two digits", MSG_REPLY, NONCE, OUTCOME_DONE, 20, true, false},
    {"interim status", MSG_REPLY, NONCE, OUTCOME_DONE, 103, true, false},
    {"status 600", MSG_REPLY, NONCE, OUTCOME_DONE, 600, true, false},
};

Test(msg, only_replies_that_can_be_relayed_are_taken)
{
    static char body[] = "body";
    for (size_t i = 0; i < sizeof(reply_cases) / sizeof(reply_cases[0]); i++) {
        const reply_case *c = &reply_cases[i];
        uint64_t checksum = correlation_checksum(body, sizeof(body));
        msg m = {.kind = c->kind};
        if (c->kind == MSG_REPLY) {
            m.reply.nonce = c->nonce;
            m.reply.outcome = c->outcome;
            m.reply.status = c->status;
            m.reply.checksum = c->intact ? checksum : checksum + 1;
            m.reply.body = (msg_body){sizeof(body), body};
        }
        cr_expect_eq(msg_is_reply_to(&m, NONCE), c->taken, "%s", c->name);
    }
}
