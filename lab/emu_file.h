/*
 * emu_file: loads the description of a simulation run from a TOML file: the
 * services, the kinds of requests with the calls that they make, and the
 * disruption ("trouble").
 *
 *   [emulation]  name, length, zones, seed
 *   [services.NAME]  instances, slots, speeds (assigned to the instances in
 *                 turn)
 *   [kinds.NAME]  service, per_s (0 or absent: internal calls only), work,
 *                 objective, timeout, priority, worth, returns, patience,
 *                 calls ("KIND TIMES")
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
    double worth[EMU_KINDS_MAX]; /* value of a request served in time */
    emu_service services[EMU_SERVICES_MAX];
    emu_kind kinds[EMU_KINDS_MAX];
    emu_options opts; /* points into this struct; load shedding is on */
} emu_file;

int emu_file_load(emu_file *out, const char *path, err *e);

#endif
