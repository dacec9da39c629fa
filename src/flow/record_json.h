/*
 * record_json: JSON encoding of a node's record, as stored in the store and
 * exchanged between nodes.
 */
#ifndef LAV_RECORD_JSON_H
#define LAV_RECORD_JSON_H

#include <jansson.h>
#include <netinet/in.h>

#include "lav/err.h"
#include "lav/instance.h"

struct sockaddr_in record_json_address(const instance_record *record);
json_t *record_json_encode(const instance_record *record);
int record_json_decode(instance_record *out, json_t *value, err *e);

#endif
