/* Names in the records of nodes, and the names of their states. */
#include <glib.h>
#include <string.h>

#include "lav/err.h"
#include "lav/instance.h"

static const char *const instance_state_names[] = {
    "starting", "ready", "stopping", "draining", "gone"};

/* Whether `name` can name a node or an instance: not empty, short enough for a
 * record, and UTF-8 text without spaces and control characters, so that it can
 * be part of JSON text, a path and a header field. */
bool
instance_name_is_valid(const char *name)
{
    size_t length = strlen(name);
    if (length == 0 || length >= INSTANCE_NAME_SIZE ||
        !g_utf8_validate(name, (gssize)length, NULL)) {
        return false;
    }
    for (const char *at = name; *at != '\0'; at = g_utf8_next_char(at)) {
        gunichar character = g_utf8_get_char(at);
        if (g_unichar_isspace(character) || g_unichar_iscntrl(character)) {
            return false;
        }
    }
    return true;
}

/* Returns the name of a state in messages and logs. */
const char *
instance_state_name(enum instance_state state)
{
    return instance_state_names[state];
}

/* Parses the name of a state; ERR_INVALID if there is no such state. */
int
instance_state_parse(enum instance_state *out, const char *name)
{
    for (int i = INSTANCE_STARTING; i <= INSTANCE_GONE; i++) {
        if (strcmp(name, instance_state_names[i]) == 0) {
            *out = (enum instance_state)i;
            return 0;
        }
    }
    return ERR_INVALID;
}
