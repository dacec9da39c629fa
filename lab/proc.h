/*
 * proc: starts, signals and waits for child processes, each by its own pid,
 * and reserves loopback ports for them.
 */
#ifndef LAB_PROC_H
#define LAB_PROC_H

#include <stdbool.h>
#include <sys/types.h>

#include "lav/err.h"

#define PROC_NONE 0 /* no process */

int proc_start(pid_t *out, char *const argv[], const char *log_path, err *e);
void proc_signal(pid_t pid, int signal_number);
int proc_wait(pid_t *pid, int timeout_ms);
void proc_kill(pid_t *pid);
int proc_reserve_port(void);

#endif
