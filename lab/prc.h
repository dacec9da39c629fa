/*
 * prc: processes that the lab starts, each ended by its own pid.
 */
#ifndef LAB_PRC_H
#define LAB_PRC_H

#include <stdbool.h>
#include <sys/types.h>

#include "lav/err.h"

#define PRC_NONE 0 /* no process */

int prc_start(pid_t *out, char *const argv[], const char *log_path, err *e);
void prc_signal(pid_t pid, int signal_number);
int prc_wait(pid_t *pid, int timeout_ms);
void prc_kill(pid_t *pid);
int prc_free_port(void);

#endif
