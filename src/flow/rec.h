/*
 * rec: a node's record as JSON, as it lies at the store and travels between
 * nodes.
 */
#ifndef LAV_REC_H
#define LAV_REC_H

#include <jansson.h>
#include <netinet/in.h>

#include "lav/err.h"
#include "lav/instance.h"

struct sockaddr_in rec_address(const instance_record *record);
json_t *rec_pack(const instance_record *record);
int rec_unpack(instance_record *out, json_t *value, err *e);

#endif
