#include "proc.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "lav/clock.h"

#define PROC_WAIT_INTERVAL_US 5000
#define PROC_PORT_FIRST 21000
#define PROC_PORT_LAST 31000
#define PROC_BLOCK_PORTS 250 /* enough for most test deployments */
#define PROC_EXEC_FAILED 127

/* Starts a program with its output appended to `log_path`.  It inherits no
 * other descriptor, which would keep connections of this process open, and
 * gets SIGKILL when this process ends for any reason.  Returns 0 or
 * ERR_FULL. */
int
proc_start(pid_t *out, char *const argv[], const char *log_path, err *e)
{
    pid_t parent = getpid();
    pid_t pid = fork();
    if (pid < 0) {
        return ERR_SET(e, ERR_FULL, "cannot start %s", argv[0]);
    }
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int log = open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0644);
        if (log < 0 || getppid() != parent) {
            _exit(PROC_EXEC_FAILED);
        }
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execv(argv[0], argv);
        _exit(PROC_EXEC_FAILED);
    }
    *out = pid;
    return 0;
}

/* Sends a signal to a process started by proc_start(); PROC_NONE is
 * ignored. */
void
proc_signal(pid_t pid, int signal_number)
{
    if (pid > 0) {
        kill(pid, signal_number);
    }
}

/* Waits for a process to end.  Returns its exit status, 128 + the signal that
 * ended it, or -1 after `timeout_ms`.  Sets `pid` to PROC_NONE when it
 * ended. */
int
proc_wait(pid_t *pid, int timeout_ms)
{
    int64_t end_us = clock_now_us() + (int64_t)timeout_ms * CLOCK_US_PER_MS;
    while (*pid > 0) {
        int status = 0;
        if (waitpid(*pid, &status, WNOHANG) == *pid) {
            *pid = PROC_NONE;
            return WIFEXITED(status) ? WEXITSTATUS(status)
                                     : 128 + WTERMSIG(status);
        }
        if (clock_now_us() >= end_us) {
            return -1;
        }
        clock_sleep_us(PROC_WAIT_INTERVAL_US);
    }
    return 0;
}

/* Kills a process with SIGKILL and waits for it. */
void
proc_kill(pid_t *pid)
{
    if (*pid > 0) {
        kill(*pid, SIGKILL);
        waitpid(*pid, NULL, 0);
        *pid = PROC_NONE;
    }
}

/* Returns whether a loopback TCP port can be bound. */
static bool
proc_port_is_free(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int probe = socket(AF_INET, SOCK_STREAM, 0);
    bool free_now =
        bind(probe, (struct sockaddr *)&address, sizeof(address)) == 0;
    close(probe);
    return free_now;
}

/* Reserves a block of ports for this process and returns its first port.  A
 * UDP socket that stays bound to that port keeps other processes that call
 * this function from taking the block. */
static int
proc_reserve_port_block(void)
{
    static int tried;
    int blocks = (PROC_PORT_LAST - PROC_PORT_FIRST) / PROC_BLOCK_PORTS;
    for (; tried < blocks; tried++) {
        int first =
            PROC_PORT_FIRST + (getpid() + tried) % blocks * PROC_BLOCK_PORTS;
        struct sockaddr_in address = {.sin_family = AF_INET,
                                      .sin_port = htons((uint16_t)first)};
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        int guard = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        if (bind(guard, (struct sockaddr *)&address, sizeof(address)) == 0) {
            tried++;
            return first;
        }
        close(guard);
    }
    abort(); /* more concurrent tests than blocks */
}

/* Returns a free loopback port that no other process takes.  The range is
 * below the ephemeral ports that the system gives to outgoing connections. */
int
proc_reserve_port(void)
{
    static pid_t owner;
    static int next;
    static int end;
    for (;;) {
        if (owner != getpid() || next == end) {
            owner = getpid();
            next = proc_reserve_port_block();
            end = next + PROC_BLOCK_PORTS;
        }
        int port = next++;
        if (proc_port_is_free(port)) {
            return port;
        }
    }
}
