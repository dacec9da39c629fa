#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "harness_private.h"
#include "lav/clock.h"
#include "thread_pool.h"

typedef struct harness_listener {
    int fd;
    int index;
    harness_serve_cb serve;
} harness_listener;

/* Threads that serve connections; made at the first harness_listen(). */
static thread_pool *harness_threads;
static pthread_once_t harness_threads_once = PTHREAD_ONCE_INIT;

/* Make the threads that serve connections; aborts when that fails. */
static void
harness_init_threads(void)
{
    err e = ERR_INIT;
    if (thread_pool_new(&harness_threads, &e) < 0) {
        fprintf(stderr, "harness: %s\n", e.message);
        abort();
    }
}

/* Serve one connection; a job of the threads. */
static void
harness_serve_connection(void *payload)
{
    harness_listener *c = payload;
    c->serve(c->fd, c->index);
    close(c->fd);
    free(c);
}

/* Thread of a listener: accepts connections until the descriptor is closed.
 * Aborts when the process is out of descriptors or threads, since the test
 * would then measure the harness instead of the nodes. */
static void *
harness_accept_main(void *payload)
{
    harness_listener *l = payload;
    for (;;) {
        int fd = accept(l->fd, NULL, NULL);
        if (fd < 0 && (errno == EMFILE || errno == ENFILE)) {
            perror("harness: accept");
            abort();
        }
        if (fd < 0) {
            free(l);
            return NULL;
        }
        int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        harness_listener *c = malloc(sizeof(*c));
        *c = (harness_listener){fd, l->index, l->serve};
        err e = ERR_INIT;
        if (thread_pool_run(harness_threads, harness_serve_connection, c, &e) <
            0) {
            fprintf(stderr, "harness: %s\n", e.message);
            abort();
        }
    }
}

/* Listen on a loopback port and serve each connection with `serve`, at the same
 * time as all others; `index` is passed to it.  Returns the listening
 * descriptor; shutting it down ends the listener. */
int
harness_listen(int port, int index, harness_serve_cb serve)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
                             .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_TIMESTAMPNS, &on,
               sizeof(on)); /* inherited */
    if (bind(fd, (struct sockaddr *)&at, sizeof(at)) < 0 ||
        listen(fd, 256) < 0) {
        perror("harness_listen");
        abort();
    }
    pthread_once(&harness_threads_once, harness_init_threads);
    harness_listener *l = malloc(sizeof(*l));
    *l = (harness_listener){fd, index, serve};
    pthread_t thread;
    pthread_create(&thread, NULL, harness_accept_main, l);
    pthread_detach(thread);
    return fd;
}

/* Copy the value of a header field; false when the head does not have it. */
bool
harness_find_header(char *out, size_t size, const char *head, const char *name)
{
    size_t length = strlen(name);
    const char *line = head;
    out[0] = '\0';
    while ((line = strstr(line, "\r\n")) != NULL) {
        line += 2;
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            line += length + 1;
            while (*line == ' ') {
                line++;
            }
            const char *end = strstr(line, "\r\n");
            size_t value = end == NULL ? strlen(line) : (size_t)(end - line);
            snprintf(out, size, "%.*s", (int)value, line);
            return true;
        }
    }
    return false;
}

/* Read exactly `length` bytes; false when the connection ends before. */
static bool
harness_read_bytes(int fd, char *out, size_t length)
{
    while (length > 0) {
        ssize_t received = recv(fd, out, length, 0);
        if (received <= 0) {
            return false;
        }
        out += received;
        length -= (size_t)received;
    }
    return true;
}

/* How long ago the kernel received what a message brought, in us; 0 if it does
 * not say. */
static int64_t
harness_message_age_us(struct msghdr *message)
{
    struct timespec at;
    struct timespec now;
    for (struct cmsghdr *c = CMSG_FIRSTHDR(message); c != NULL;
         c = CMSG_NXTHDR(message, c)) {
        if (c->cmsg_level == SOL_SOCKET && c->cmsg_type == SCM_TIMESTAMPNS) {
            memcpy(&at, CMSG_DATA(c), sizeof(at));
            clock_gettime(CLOCK_REALTIME, &now);
            int64_t age_us = (now.tv_sec - at.tv_sec) * CLOCK_US_PER_S +
                             (now.tv_nsec - at.tv_nsec) / 1000;
            return age_us > 0 ? age_us : 0;
        }
    }
    return 0;
}

/* Read one byte; false when the connection has ended.  `arrived_us`, which may
 * be NULL, is set to the monotonic time at which it came to the socket: on a
 * busy machine this thread may read it much later. */
static bool
harness_read_byte(int fd, char *out, int64_t *arrived_us)
{
    union {
        struct cmsghdr align;
        char bytes[CMSG_SPACE(sizeof(struct timespec))];
    } control;
    struct iovec part = {out, 1};
    struct msghdr message = {.msg_iov = &part,
                             .msg_iovlen = 1,
                             .msg_control = control.bytes,
                             .msg_controllen = sizeof(control.bytes)};
    if (recvmsg(fd, &message, 0) != 1) {
        return false;
    }
    if (arrived_us != NULL) {
        *arrived_us = clock_now_us() - harness_message_age_us(&message);
    }
    return true;
}

/* Read up to and including the empty line after the header fields;
 * `arrived_us`, which may be NULL, is set to the time at which that came. */
static bool
harness_read_head(int fd, char *out, size_t size, int64_t *arrived_us)
{
    size_t length = 0;
    while (length + 1 < size &&
           harness_read_byte(fd, out + length, arrived_us)) {
        out[++length] = '\0';
        if (length >= 4 && strcmp(out + length - 4, "\r\n\r\n") == 0) {
            return true;
        }
    }
    return false;
}

/* Read a body in chunked transfer encoding, without trailer fields. */
static bool
harness_read_chunks(int fd, char *body, size_t *length)
{
    *length = 0;
    for (;;) {
        char line[32];
        size_t at = 0;
        do {
            if (at + 1 >= sizeof(line) ||
                !harness_read_bytes(fd, line + at, 1)) {
                return false;
            }
        } while (line[at++] != '\n');
        line[at] = '\0';
        size_t size = strtoul(line, NULL, 16);
        char end[2];
        if (*length + size > HARNESS_BODY_SIZE_MAX ||
            !harness_read_bytes(fd, body + *length, size) ||
            !harness_read_bytes(fd, end, sizeof(end))) {
            return false;
        }
        *length += size;
        if (size == 0) {
            return true;
        }
    }
}

/* Read a request; false when the connection has ended or the request is not
 * complete. */
bool
harness_read_request(harness_request *out, int fd)
{
    char value[64];
    out->length = 0;
    if (!harness_read_head(fd, out->head, sizeof(out->head),
                           &out->arrived_us) ||
        sscanf(out->head, "%15s %511s", out->method, out->path) != 2) {
        return false;
    }
    if (harness_find_header(value, sizeof(value), out->head,
                            "Transfer-Encoding")) {
        return harness_read_chunks(fd, out->body, &out->length);
    }
    if (harness_find_header(value, sizeof(value), out->head,
                            "Content-Length")) {
        out->length = strtoul(value, NULL, 10);
        return out->length <= HARNESS_BODY_SIZE_MAX &&
               harness_read_bytes(fd, out->body, out->length);
    }
    return true;
}

/* Write a response with the length of its body; `headers` are further lines,
 * each with its CRLF. */
void
harness_write_response(int fd, int status, const char *headers,
                       const char *body, size_t length)
{
    char head[2048];
    int size = snprintf(head, sizeof(head),
                        "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n%s\r\n",
                        status, length, headers);
    harness_send(fd, head, (size_t)size);
    harness_send(fd, body, length);
}

/* Send all bytes, or as many as go out before the connection breaks. */
void
harness_send(int fd, const char *bytes, size_t length)
{
    while (length > 0) {
        ssize_t sent = send(fd, bytes, length, MSG_NOSIGNAL);
        if (sent <= 0) {
            return;
        }
        bytes += sent;
        length -= (size_t)sent;
    }
}

/* Read a response; its status is 0 when the connection ended within the
 * head.  The body must be released by harness_free_response(). */
void
harness_read_response(harness_response *out, int fd)
{
    char value[64];
    *out = (harness_response){0};
    out->body = malloc(HARNESS_BODY_SIZE_MAX);
    if (!harness_read_head(fd, out->head, sizeof(out->head), NULL) ||
        sscanf(out->head, "HTTP/1.1 %d", &out->status) != 1) {
        out->status = 0;
        return;
    }
    if (harness_find_header(value, sizeof(value), out->head,
                            "Transfer-Encoding")) {
        out->complete = harness_read_chunks(fd, out->body, &out->length);
    }
    else if (harness_find_header(value, sizeof(value), out->head,
                                 "Content-Length")) {
        out->length = strtoul(value, NULL, 10);
        out->complete = out->length <= HARNESS_BODY_SIZE_MAX &&
                        harness_read_bytes(fd, out->body, out->length);
    }
}

/* Release the body of a response. */
void
harness_free_response(harness_response *response)
{
    free(response->body);
    *response = (harness_response){0};
}
