/*
 * request_reader: reads requests by the grammar of HTTP/1.1 alone, line by
 * line, independently of http_syntax and http_parser.
 */
#ifndef LAV_REQUEST_READER_H
#define LAV_REQUEST_READER_H

#include <glib.h>

#include "http_head.h"

void request_reader_append(GString *out, http_str text);
GString *request_reader_read(const char *bytes, size_t length);

#endif
