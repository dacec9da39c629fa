/*
 * emu_file: an emulation as a file: services, kinds of requests with the calls
 * that they make, and the trouble of the day.
 *
 *   [emulation]  name, length, zones, seed
 *   [services.NAME]  instances, slots, speeds (of the instances in turn)
 *   [kinds.NAME]  service, per_s (0 or left out: calls only), work,
 *                 objective, timeout, priority, worth, calls ("KIND TIMES")
 *   [trouble]  from, for, load, slow_service, slow_count, slower
 */
#ifndef LAB_EMU_FILE_H
#define LAB_EMU_FILE_H

#include "emu.h"
#include "lav/svc.h"

typedef struct emu_file {
    char name[SVC_NAME_SIZE];
    char service_names[EMU_SERVICES_MAX][SVC_NAME_SIZE];
    char kind_names[EMU_KINDS_MAX][SVC_NAME_SIZE];
    double worth[EMU_KINDS_MAX]; /* of one request served in time */
    emu_service services[EMU_SERVICES_MAX];
    emu_kind kinds[EMU_KINDS_MAX];
    emu_options opts; /* points into this struct; the gate is on */
} emu_file;

int emu_file_load(emu_file *out, const char *path, err *e);

#endif
