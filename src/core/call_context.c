#include "lav/call_context.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lav/err.h"
#include "lav/svc.h"

#define CALL_CONTEXT_DEPTH_MAX 64
#define CALL_CONTEXT_BUDGET_MAX 64

/* Format the value of the header. */
void
call_context_format(char out[CALL_CONTEXT_TEXT_SIZE],
                    const call_context *context)
{
    snprintf(out, CALL_CONTEXT_TEXT_SIZE,
             "v1;root=%s;class=%s;depth=%d;left-us=%" PRId64
             ";budget=%d;token=%" PRIx64 ";first=%d",
             context->root.text, svc_class_name(context->klass),
             context->depth, context->time_left_us, context->budget,
             context->token, context->first ? 1 : 0);
}

/* Parse the name of a class; ERR_INVALID if there is no such class. */
static int
call_context_parse_class(int *out, const char *name)
{
    for (int i = 0; i < SVC_CLASS_COUNT; i++) {
        if (strcmp(name, svc_class_name(i)) == 0) {
            *out = i;
            return 0;
        }
    }
    return ERR_INVALID;
}

/* Parse a number from 0 to `max`, of at most 18 digits so that it can't
 * overflow; ERR_INVALID if it is not one. */
static int
call_context_parse_number(int64_t *out, const char *text, int base,
                          int64_t max)
{
    char *end = NULL;
    if (text[0] == '\0' || text[0] == '-' || strlen(text) > 18) {
        return ERR_INVALID;
    }
    *out = strtoll(text, &end, base);
    return *end == '\0' && *out >= 0 && *out <= max ? 0 : ERR_INVALID;
}

/* Parse the value of the header; ERR_INVALID if any field is malformed. */
int
call_context_parse(call_context *out, const char *text)
{
    char root[ID_SIZE];
    char class_name[16];
    char depth[8];
    char left[24];
    char budget[8];
    char token[24];
    char first[4];
    char end;
    if (strlen(text) >= CALL_CONTEXT_TEXT_SIZE) {
        return ERR_INVALID;
    }
    int fields =
        sscanf(text,
               "v1;root=%63[^;];class=%15[^;];depth=%7[^;];"
               "left-us=%23[^;];budget=%7[^;];token=%23[^;];"
               "first=%3[^;]%c",
               root, class_name, depth, left, budget, token, first, &end);
    if (fields != 7) {
        return ERR_INVALID;
    }
    int64_t depth_value = 0;
    int64_t budget_value = 0;
    int64_t first_value = 0;
    if (id_parse(&out->root, root) < 0 ||
        call_context_parse_class(&out->klass, class_name) < 0 ||
        call_context_parse_number(&depth_value, depth, 10,
                                  CALL_CONTEXT_DEPTH_MAX) < 0 ||
        call_context_parse_number(&out->time_left_us, left, 10, INT64_MAX) <
            0 ||
        call_context_parse_number(&budget_value, budget, 10,
                                  CALL_CONTEXT_BUDGET_MAX) < 0 ||
        call_context_parse_number(&first_value, first, 10, 1) < 0) {
        return ERR_INVALID;
    }
    char *token_end = NULL;
    out->token = strtoull(token, &token_end, 16);
    if (*token_end != '\0') {
        return ERR_INVALID;
    }
    out->depth = (int)depth_value;
    out->budget = (int)budget_value;
    out->first = first_value == 1;
    return 0;
}
