/*
 * usage_message: the text form of the messages about usage caps.  Messages of
 * other nodes are validated like any other input.
 */
#ifndef LAV_USAGE_MESSAGE_H
#define LAV_USAGE_MESSAGE_H

#include "bytebuf.h"
#include "http_head.h"
#include "lav/usage_cap.h"

#define USAGE_MESSAGE_PATH "/lav/usage/"

void usage_message_write_ask(bytebuf *out, const usage_ask *ask);
bool usage_message_is_ask(http_str path);
int usage_message_read_ask(usage_ask *out, http_str path);
char *usage_message_write_answer(const usage_answer *answer);
int usage_message_read_answer(usage_answer *out, const char *text,
                              size_t length);

#endif
