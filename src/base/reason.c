#include "lav/reason.h"

#define REASON_TEXT(identifier, text) text,
static const char *const reason_names[REASON_COUNT] = {
    REASON_LIST(REASON_TEXT)};
#undef REASON_TEXT

/* Return the text of a reason as used in headers, metrics and logs;
 * "unlisted" for any other value. */
const char *
reason_name(enum reason reason)
{
    if ((unsigned)reason >= REASON_COUNT) {
        return "unlisted";
    }
    return reason_names[reason];
}

/* Return the text of an outcome as used in the Lav-Outcome header. */
const char *
outcome_name(enum outcome outcome)
{
    switch (outcome) {
    case OUTCOME_DONE:
        return "done";
    case OUTCOME_NOT_RUN:
        return "not-run";
    case OUTCOME_UNKNOWN:
        return "unknown";
    }
    return "unknown";
}
