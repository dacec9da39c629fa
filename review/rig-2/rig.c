#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define DEPLOY_FILE "deploy/system.toml"
#define OBJECTS_MAX 64
#define EVENTS_MAX 512
#define STORE_IP_SUFFIX 1
#define STORE_STEP_MS 5
#define BEAT_MS 1500
#define LIFETIME_S 115 /* the rig ends by then, whatever happens */

typedef struct store_object {
    char kind[32];
    char name[64];
    long revision;
    json_t *spec; /* NULL: the place is free */
} store_object;

typedef struct store_event {
    long revision;
    char kind[32];
    json_t *event;
} store_event;

typedef struct store_state {
    store_object objects[OBJECTS_MAX];
    store_event events[EVENTS_MAX];
    int event_count;
    long revision;
} store_state;

static char rig_dir[128]; /* temporary files */

static struct {
    char grace[16];
    char drain[16];
    char run[256]; /* the command of the deploy file */
    char template_path[256];
    FILE *record;
    int64_t start_ms;
    unsigned char net[2];
    rig_node nodes[RIG_NODES_MAX];
    int node_count;
    char store_ip[20];
    int store_port;
    pthread_mutex_t lock;
    pthread_mutex_t record_lock;
    store_state store;
    store_state copy;
    bool away;
    int era;
    int away_count; /* connections opened before the last one are closed */
} rig = {.lock = PTHREAD_MUTEX_INITIALIZER,
         .record_lock = PTHREAD_MUTEX_INITIALIZER,
         .store = {.revision = 100}};

/* Milliseconds on the steady clock. */
int64_t
rig_now_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static long
wall_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
rig_sleep_ms(int ms)
{
    struct timespec left = {ms / 1000, (ms % 1000) * 1000000L};
    while (nanosleep(&left, &left) < 0 && errno == EINTR) {
    }
}

/* Write a line to the record. */
void
rig_note(const char *format, ...)
{
    va_list args;
    pthread_mutex_lock(&rig.record_lock);
    fprintf(rig.record, "%8.3f ",
            (double)(rig_now_ms() - rig.start_ms) / 1000);
    va_start(args, format);
    vfprintf(rig.record, format, args);
    va_end(args);
    fputc('\n', rig.record);
    fflush(rig.record);
    pthread_mutex_unlock(&rig.record_lock);
}

/* Whether the case is played with its disruption. */
bool
rig_is_troubled(void)
{
    const char *trouble = getenv("TROUBLE");
    return trouble == NULL || strcmp(trouble, "0") != 0;
}

static void
kill_nodes(void)
{
    for (int i = 0; i < rig.node_count; i++) {
        if (rig.nodes[i].pid > 0) {
            kill(rig.nodes[i].pid, SIGCONT);
            kill(rig.nodes[i].pid, SIGKILL);
            waitpid(rig.nodes[i].pid, NULL, 0);
            rig.nodes[i].pid = 0;
        }
    }
}

static void
remove_files(void)
{
    for (int i = 0; i < rig.node_count; i++) {
        unlink(rig.nodes[i].settings);
        unlink(rig.nodes[i].log);
    }
    rmdir(rig_dir);
}

/* End all processes and the record; the exit status. */
int
rig_close(enum rig_verdict verdict)
{
    static const char *const words[] = {"held", "broken", "could not run"};
    rig_note("the rule: %s", words[verdict]);
    kill_nodes();
    if (getenv("RIG_KEEP") == NULL) {
        remove_files();
    }
    fclose(rig.record);
    printf("%s\n", words[verdict]);
    fflush(stdout);
    _exit((int)verdict);
}

void
rig_give_up(const char *why)
{
    rig_note("could not run: %s", why);
    rig_close(RIG_NOT_RUN);
    abort();
}

static void
on_signal(int signal_number)
{
    (void)signal_number;
    for (int i = 0; i < rig.node_count; i++) {
        if (rig.nodes[i].pid > 0) {
            kill(rig.nodes[i].pid, SIGKILL);
        }
    }
    _exit(RIG_NOT_RUN);
}

/* The text after `key = "` in the deploy file, up to the next quote. */
static void
read_deploy_text(char *out, size_t size, const char *key)
{
    char line[1024];
    char wanted[64];
    FILE *file = fopen(DEPLOY_FILE, "r");
    out[0] = '\0';
    snprintf(wanted, sizeof(wanted), "%s = \"", key);
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (strncmp(line, wanted, strlen(wanted)) == 0) {
            snprintf(out, size, "%s", line + strlen(wanted));
            out[strcspn(out, "\"")] = '\0';
            break;
        }
    }
    if (file != NULL) {
        fclose(file);
    }
}

/* Connections. */

static struct sockaddr_in
address_of(const char *ip, int port)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, ip, &at.sin_addr);
    return at;
}

/* Listen at `*port`, or at a free one if it is 0.  `receive_buffer`: of the
 * connections, in bytes; 0: the usual one. */
int
rig_listen(const char *ip, int *port, int receive_buffer)
{
    int on = 1;
    struct sockaddr_in at = address_of(ip, *port);
    socklen_t size = sizeof(at);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (receive_buffer > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                   sizeof(receive_buffer));
    }
    if (bind(fd, (struct sockaddr *)&at, sizeof(at)) < 0 ||
        listen(fd, 512) < 0 ||
        getsockname(fd, (struct sockaddr *)&at, &size) < 0) {
        rig_give_up("no address to listen at");
    }
    *port = ntohs(at.sin_port);
    return fd;
}

int
rig_connect(const char *ip, int port, int receive_buffer)
{
    int on = 1;
    struct sockaddr_in to = address_of(ip, port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, IPPROTO_TCP, 1 /* TCP_NODELAY */, &on, sizeof(on));
    if (receive_buffer > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                   sizeof(receive_buffer));
    }
    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

bool
rig_send(int fd, const char *bytes, size_t length)
{
    while (length > 0) {
        ssize_t sent = send(fd, bytes, length, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        length -= (size_t)sent;
    }
    return true;
}

/* Wait until there is something to read. */
static bool
wait_readable(int fd, int timeout_ms)
{
    struct pollfd poll_fd = {.fd = fd, .events = POLLIN};
    return poll(&poll_fd, 1, timeout_ms) > 0;
}

/* Read a message up to its empty line, byte by byte, so that nothing of what
 * follows is taken; false at the end of the connection or of the time. */
bool
rig_read_head(rig_message *out, int fd, int timeout_ms)
{
    size_t length = 0;
    out->head[0] = '\0';
    out->body = NULL;
    out->length = 0;
    out->status = 0;
    out->complete = false;
    while (length + 1 < sizeof(out->head)) {
        if (!wait_readable(fd, timeout_ms) ||
            recv(fd, out->head + length, 1, 0) <= 0) {
            return false;
        }
        out->head[++length] = '\0';
        if (length >= 4 && strcmp(out->head + length - 4, "\r\n\r\n") == 0) {
            sscanf(out->head, "HTTP/1.1 %d", &out->status);
            return true;
        }
    }
    return false;
}

/* Copy the value of a field; false if there is none. */
bool
rig_field(char *out, size_t size, const char *head, const char *name)
{
    size_t length = strlen(name);
    out[0] = '\0';
    for (const char *line = strstr(head, "\r\n"); line != NULL;
         line = strstr(line, "\r\n")) {
        line += 2;
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            const char *value = line + length + 1;
            value += strspn(value, " ");
            snprintf(out, size, "%.*s", (int)strcspn(value, "\r"), value);
            return true;
        }
    }
    return false;
}

static bool
read_exactly(char *out, int fd, size_t length, int timeout_ms)
{
    while (length > 0) {
        ssize_t got =
            wait_readable(fd, timeout_ms) ? recv(fd, out, length, 0) : -1;
        if (got <= 0) {
            return false;
        }
        out += got;
        length -= (size_t)got;
    }
    return true;
}

/* Read a body that has a length, or comes in chunks. */
bool
rig_read_body(rig_message *out, int fd, int timeout_ms)
{
    char text[64];
    if (rig_field(text, sizeof(text), out->head, "Content-Length")) {
        out->length = strtoul(text, NULL, 10);
        out->body = calloc(1, out->length + 1);
        out->complete = read_exactly(out->body, fd, out->length, timeout_ms);
        return out->complete;
    }
    if (!rig_field(text, sizeof(text), out->head, "Transfer-Encoding")) {
        out->complete = true;
        return true;
    }
    for (;;) {
        char line[32] = "";
        size_t used = 0;
        while (used + 1 < sizeof(line) && strstr(line, "\r\n") == NULL) {
            if (!read_exactly(line + used, fd, 1, timeout_ms)) {
                return false;
            }
            line[++used] = '\0';
        }
        size_t size = strtoul(line, NULL, 16);
        out->body = realloc(out->body, out->length + size + 2);
        if (!read_exactly(out->body + out->length, fd, size + 2, timeout_ms)) {
            return false;
        }
        out->length += size;
        if (size == 0) {
            out->complete = true;
            return true;
        }
    }
}

void
rig_clear(rig_message *message)
{
    free(message->body);
    message->body = NULL;
}

/* Send a request on a new connection and read its answer. */
void
rig_call(rig_message *out, rig_node *node, const char *method,
         const char *path, const char *id, const char *body, size_t length,
         int deadline_ms)
{
    char head[1024];
    *out = (rig_message){0};
    int fd = rig_connect(node->ip, node->ports[RIG_OUTBOUND], 0);
    int size = snprintf(head, sizeof(head),
                        "%s %s HTTP/1.1\r\nHost: h.example\r\n" RIG_ID
                        ": %s\r\nLavenderfield-Deadline-Ms: %d\r\n",
                        method, path, id, deadline_ms);
    size += snprintf(head + size, sizeof(head) - (size_t)size,
                     body == NULL ? "\r\n" : "Content-Length: %zu\r\n\r\n",
                     length);
    if (fd >= 0 && rig_send(fd, head, (size_t)size) &&
        (body == NULL || rig_send(fd, body, length)) &&
        rig_read_head(out, fd, deadline_ms + 1000)) {
        rig_read_body(out, fd, deadline_ms + 1000);
    }
    if (fd >= 0) {
        close(fd);
    }
}

/* The store. */

static store_object *
store_find(const char *kind, const char *name, bool add)
{
    store_object *free_place = NULL;
    for (int i = 0; i < OBJECTS_MAX; i++) {
        store_object *o = &rig.store.objects[i];
        if (o->spec == NULL) {
            free_place = free_place == NULL ? o : free_place;
        }
        else if (strcmp(o->kind, kind) == 0 && strcmp(o->name, name) == 0) {
            return o;
        }
    }
    if (add && free_place != NULL) {
        snprintf(free_place->kind, sizeof(free_place->kind), "%s", kind);
        snprintf(free_place->name, sizeof(free_place->name), "%s", name);
        return free_place;
    }
    return NULL;
}

static json_t *
store_encode(const store_object *o)
{
    return json_pack("{s:{s:s,s:I},s:O}", "metadata", "name", o->name,
                     "revision", (json_int_t)o->revision, "spec", o->spec);
}

static void
store_append_event(const store_object *o, bool deleted)
{
    store_state *s = &rig.store;
    if (s->event_count == EVENTS_MAX) {
        rig_note("the store's history is full");
        return;
    }
    store_event *e = &s->events[s->event_count++];
    e->revision = s->revision;
    snprintf(e->kind, sizeof(e->kind), "%s", o->kind);
    e->event =
        json_pack("{s:o,s:b}", "object", store_encode(o), "deleted", deleted);
}

/* Write an object, as the operator or a node does; its revision.  The lock is
 * held. */
static long
store_write(const char *kind, const char *name, json_t *spec)
{
    store_object *o = store_find(kind, name, true);
    json_t *before = o->spec;
    if (before != NULL && json_equal(before, spec)) {
        return o->revision;
    }
    o->spec = json_deep_copy(spec);
    json_decref(before);
    o->revision = ++rig.store.revision;
    store_append_event(o, false);
    return o->revision;
}

/* The operator's write of an object; its revision. */
long
rig_store_put(const char *kind, const char *name, json_t *spec)
{
    pthread_mutex_lock(&rig.lock);
    long revision = store_write(kind, name, spec);
    pthread_mutex_unlock(&rig.lock);
    json_decref(spec);
    return revision;
}

long
rig_store_revision(void)
{
    pthread_mutex_lock(&rig.lock);
    long revision = rig.store.revision;
    pthread_mutex_unlock(&rig.lock);
    return revision;
}

static json_t *
desired_state(int version, const char *routes, const char *idle_timeout)
{
    char hex[16];
    json_t *list = json_loads(routes, 0, NULL);
    json_t *services = json_array();
    for (int i = 0; i < rig.node_count; i++) {
        bool listed = false;
        for (int j = 0; j < i; j++) {
            listed = listed ||
                     strcmp(rig.nodes[j].service, rig.nodes[i].service) == 0;
        }
        if (!listed) {
            json_array_append_new(
                services,
                json_pack("{s:s,s:s,s:i,s:s,s:b}", "name",
                          rig.nodes[i].service, "health_path", "/health",
                          "max_connections", 448, "protocol", "h1", "tls", 0));
        }
    }
    snprintf(hex, sizeof(hex), "%08x", (unsigned)version);
    if (list == NULL) {
        rig_give_up("the routes are no JSON");
    }
    return json_pack("{s:s,s:o,s:o,s:{s:i,s:i,s:s,s:s}}", "version", hex,
                     "routes", list, "services", services, "limits",
                     "max_header_bytes", 16384, "max_body_bytes", 67108864,
                     "header_timeout", "3000ms", "idle_timeout", idle_timeout);
}

/* The operator writes a desired state. */
void
rig_publish(int version, const char *routes, const char *idle_timeout)
{
    long revision = rig_store_put(
        "config", "main", desired_state(version, routes, idle_timeout));
    rig_note("the operator writes version %d; the store acknowledges it as "
             "revision %ld",
             version, revision);
}

static store_state
store_clone(void)
{
    store_state copy = rig.store;
    for (int i = 0; i < OBJECTS_MAX; i++) {
        copy.objects[i].spec = json_deep_copy(copy.objects[i].spec);
    }
    for (int i = 0; i < copy.event_count; i++) {
        copy.events[i].event = json_incref(copy.events[i].event);
    }
    return copy;
}

/* Take the copy from which the store comes back. */
void
rig_store_copy(void)
{
    pthread_mutex_lock(&rig.lock);
    rig.copy = store_clone();
    rig_note("a copy of the store is taken at revision %ld",
             rig.store.revision);
    pthread_mutex_unlock(&rig.lock);
}

/* The store is away: it resets connections and accepts none. */
void
rig_store_away(void)
{
    pthread_mutex_lock(&rig.lock);
    rig.away = true;
    rig.away_count++;
    rig_note("the store is away, at revision %ld", rig.store.revision);
    pthread_mutex_unlock(&rig.lock);
}

/* The store comes back from the copy. */
void
rig_store_return(void)
{
    pthread_mutex_lock(&rig.lock);
    rig.store = rig.copy;
    rig.era++;
    rig.away = false;
    rig_note("the store is back from its copy, at revision %ld, era %d",
             rig.store.revision, rig.era);
    pthread_mutex_unlock(&rig.lock);
}

/* The store is back as it was. */
void
rig_store_back(void)
{
    pthread_mutex_lock(&rig.lock);
    rig.away = false;
    rig_note("the store is back, at revision %ld", rig.store.revision);
    pthread_mutex_unlock(&rig.lock);
}

static void
reset_connection(int fd)
{
    struct linger linger = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    close(fd);
}

static bool
store_respond(int fd, int status, json_t *body)
{
    char head[256];
    char *text = body == NULL ? strdup("{}") : json_dumps(body, JSON_COMPACT);
    json_decref(body);
    pthread_mutex_lock(&rig.lock);
    int era = rig.era;
    pthread_mutex_unlock(&rig.lock);
    int size =
        snprintf(head, sizeof(head),
                 "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                 "Store-Era: %d\r\nContent-Length: %zu\r\n\r\n",
                 status, status < 300 ? "OK" : "Error", era, strlen(text));
    bool sent =
        rig_send(fd, head, (size_t)size) && rig_send(fd, text, strlen(text));
    free(text);
    return sent;
}

static long
query_number(const char *target, const char *key)
{
    const char *query = strchr(target, '?');
    const char *at = query == NULL ? NULL : strstr(query, key);
    return at == NULL ? -1 : strtol(at + strlen(key), NULL, 10);
}

static bool
store_list(int fd, const char *kind)
{
    json_t *items = json_array();
    pthread_mutex_lock(&rig.lock);
    for (int i = 0; i < OBJECTS_MAX; i++) {
        const store_object *o = &rig.store.objects[i];
        if (o->spec != NULL && strcmp(o->kind, kind) == 0) {
            json_array_append_new(items, store_encode(o));
        }
    }
    long revision = rig.store.revision;
    pthread_mutex_unlock(&rig.lock);
    return store_respond(fd, 200,
                         json_pack("{s:o,s:b,s:I}", "items", items, "has_more",
                                   0, "current_rev", (json_int_t)revision));
}

/* Serve a watch: until there is an event, or `wait_ms` are over.  A watch that
 * waits is cut off when the store goes away. */
static bool
store_watch(int fd, const char *kind, long from, long wait_ms, int opened)
{
    int64_t end_ms = rig_now_ms() + (wait_ms < 1 ? 1 : wait_ms);
    for (;;) {
        json_t *events = json_array();
        pthread_mutex_lock(&rig.lock);
        bool cut = rig.away || rig.away_count != opened;
        long revision = rig.store.revision;
        bool unknown = from > revision;
        for (int i = 0; i < rig.store.event_count; i++) {
            const store_event *e = &rig.store.events[i];
            if (e->revision > from && strcmp(e->kind, kind) == 0) {
                json_array_append(events, e->event);
            }
        }
        pthread_mutex_unlock(&rig.lock);
        if (cut) {
            json_decref(events);
            return false;
        }
        if (unknown) {
            json_decref(events);
            return store_respond(fd, 410, NULL);
        }
        if (json_array_size(events) > 0 || rig_now_ms() >= end_ms) {
            return store_respond(fd, 200,
                                 json_pack("{s:o,s:I}", "events", events,
                                           "current_rev",
                                           (json_int_t)revision));
        }
        json_decref(events);
        rig_sleep_ms(STORE_STEP_MS);
    }
}

/* Serve a POST, PUT or DELETE; `name` is empty for a POST. */
static bool
store_change(int fd, const char *method, const char *kind, const char *name,
             const char *target, const rig_message *request)
{
    char own_name[64];
    int status = 200;
    json_t *answer = NULL;
    json_t *body = json_loadb(request->body == NULL ? "" : request->body,
                              request->length, 0, NULL);
    json_t *metadata = json_object_get(body, "metadata");
    const char *given = json_string_value(json_object_get(metadata, "name"));
    json_t *revision = json_object_get(metadata, "revision");
    long expected = json_is_integer(revision)
                        ? (long)json_integer_value(revision)
                        : query_number(target, "revision=");
    snprintf(own_name, sizeof(own_name), "%s",
             name[0] != '\0' || given == NULL ? name : given);
    pthread_mutex_lock(&rig.lock);
    store_object *o = store_find(kind, own_name, false);
    if (strcmp(method, "POST") == 0 && o != NULL) {
        status = 409;
    }
    else if (strcmp(method, "POST") != 0 && o == NULL) {
        status = 404;
    }
    else if (o != NULL && expected >= 0 && expected != o->revision) {
        status = 409;
    }
    else if (strcmp(method, "DELETE") == 0) {
        rig.store.revision++;
        o->revision = rig.store.revision;
        store_append_event(o, true);
        json_decref(o->spec);
        o->spec = NULL;
        o = NULL;
    }
    else if (body == NULL) {
        status = 400;
    }
    else {
        store_write(kind, own_name, json_object_get(body, "spec"));
        o = store_find(kind, own_name, false);
    }
    if (o != NULL) {
        answer = store_encode(o);
    }
    rig_note("store: %s %s/%s: %d, revision %ld", method, kind, own_name,
             status, rig.store.revision);
    pthread_mutex_unlock(&rig.lock);
    json_decref(body);
    return store_respond(fd, status, answer);
}

static bool
store_handle(int fd, const rig_message *request, int opened)
{
    char method[16];
    char target[512];
    char kind[32] = "";
    char name[64] = "";
    if (sscanf(request->head, "%15s %511s", method, target) != 2 ||
        sscanf(target, "/api/objects/%31[^/?]/%63[^?]", kind, name) < 1) {
        return store_respond(fd, 404, NULL);
    }
    if (strcmp(method, "GET") != 0) {
        return store_change(fd, method, kind, name, target, request);
    }
    long from = query_number(target, "watch=");
    return from >= 0 ? store_watch(fd, kind, from,
                                   query_number(target, "wait_ms="), opened)
                     : store_list(fd, kind);
}

static void *
store_serve(void *payload)
{
    int fd = (int)(intptr_t)payload;
    rig_message request;
    pthread_mutex_lock(&rig.lock);
    int opened = rig.away_count;
    pthread_mutex_unlock(&rig.lock);
    for (bool open = true; open;) {
        bool readable = wait_readable(fd, STORE_STEP_MS);
        pthread_mutex_lock(&rig.lock);
        open = !rig.away && rig.away_count == opened;
        pthread_mutex_unlock(&rig.lock);
        if (open && readable) {
            open = rig_read_head(&request, fd, 1000) &&
                   rig_read_body(&request, fd, 1000) &&
                   store_handle(fd, &request, opened);
            rig_clear(&request);
        }
    }
    reset_connection(fd);
    return NULL;
}

typedef struct listener {
    int fd;
    rig_node *node; /* NULL: the store */
} listener;

typedef struct served {
    int fd;
    rig_node *node;
} served;

static void *
instance_serve(void *payload)
{
    served connection = *(served *)payload;
    free(payload);
    connection.node->serve(connection.fd, connection.node);
    close(connection.fd);
    return NULL;
}

static void
start_thread(void *(*run)(void *), void *payload)
{
    pthread_t thread;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, 256 * 1024);
    if (pthread_create(&thread, &attributes, run, payload) != 0) {
        rig_give_up("no thread");
    }
    pthread_detach(thread);
    pthread_attr_destroy(&attributes);
}

static void *
accept_all(void *payload)
{
    listener l = *(listener *)payload;
    free(payload);
    for (;;) {
        int fd = accept4(l.fd, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        if (l.node == NULL) {
            start_thread(store_serve, (void *)(intptr_t)fd);
            continue;
        }
        served *connection = malloc(sizeof(*connection));
        *connection = (served){fd, l.node};
        start_thread(instance_serve, connection);
    }
    return NULL;
}

static void
serve_at(int fd, rig_node *node)
{
    listener *l = malloc(sizeof(*l));
    *l = (listener){fd, node};
    start_thread(accept_all, l);
}

/* Nodes and instances. */

/* Reserve free ports at the address of a node: all at once, so that none is
 * given twice.  Returns the listening socket of the instance. */
static int
reserve_ports(rig_node *node)
{
    int fds[RIG_INSTANCE + 1];
    for (int i = 0; i <= RIG_INSTANCE; i++) {
        fds[i] = rig_listen(node->ip, &node->ports[i], 0);
    }
    for (int i = 0; i < RIG_INSTANCE; i++) {
        close(fds[i]);
    }
    return fds[RIG_INSTANCE];
}

/* Add a machine with its instance, which serves from now on. */
rig_node *
rig_add_node(const char *service, const char *zone, int slots,
             rig_serve_cb serve)
{
    if (rig.node_count == RIG_NODES_MAX) {
        rig_give_up("too many nodes");
    }
    rig_node *node = &rig.nodes[rig.node_count];
    *node = (rig_node){.index = rig.node_count,
                       .service = service,
                       .zone = zone,
                       .slots = slots,
                       .serve = serve,
                       .born_ms = wall_ms()};
    rig.node_count++;
    char name[sizeof(node->name)];
    snprintf(name, sizeof(name), "sidecar-%s-%d", zone, node->index);
    memcpy(node->name, name, sizeof(name));
    snprintf(node->ip, sizeof(node->ip), "127.%u.%u.%d", rig.net[0],
             rig.net[1], STORE_IP_SUFFIX + 1 + node->index);
    snprintf(node->instance, sizeof(node->instance), "i-%s-%d", service,
             node->index);
    serve_at(reserve_ports(node), node);
    snprintf(node->settings, sizeof(node->settings), "%s/%s.toml", rig_dir,
             name);
    snprintf(node->log, sizeof(node->log), "%s/%s.log", rig_dir, name);
    return node;
}

typedef struct setting {
    const char *key;
    char value[64];
} setting;

static void
fill_settings(setting *out, const rig_node *node)
{
    static const char *const keys[] = {"node",
                                       "zone",
                                       "ip",
                                       "service",
                                       "heartbeat",
                                       "bounds.grace",
                                       "bounds.drain",
                                       "bounds.retry_budget_ratio",
                                       "bounds.budget_slack",
                                       "bounds.budget_window",
                                       "listen_addrs.inbound",
                                       "listen_addrs.outbound",
                                       "listen_addrs.ready_addr",
                                       "listen_addrs.control",
                                       "app_addr",
                                       "provider.address"};
    const char *const texts[] = {
        node->name, node->zone, node->ip, node->service, "1500ms",
        rig.grace,  rig.drain,  "0.2",    "48",          "10s"};
    for (int i = 0; i < 10; i++) {
        snprintf(out[i].value, sizeof(out[i].value), "%s", texts[i]);
    }
    for (int i = 0; i < 5; i++) {
        snprintf(out[10 + i].value, sizeof(out[0].value), "%s:%d", node->ip,
                 node->ports[i]);
    }
    snprintf(out[15].value, sizeof(out[15].value), "%s:%d", rig.store_ip,
             rig.store_port);
    for (int i = 0; i < 16; i++) {
        out[i].key = keys[i];
    }
}

static const char *
find_setting(const setting *settings, const char *key)
{
    for (int i = 0; i < 16; i++) {
        if (strcmp(settings[i].key, key) == 0) {
            return settings[i].value;
        }
    }
    return "";
}

/* Fill in the template: values, and sections of one value. */
static void
render(FILE *out, const char *text, const setting *settings)
{
    const char *section = "";
    char key[64];
    while (*text != '\0') {
        size_t plain = strcspn(text, "{");
        fwrite(text, 1, plain, out);
        text += plain;
        if (strncmp(text, "{{", 2) != 0) {
            if (*text != '\0') {
                fputc(*text++, out);
            }
            continue;
        }
        text += 2;
        size_t length = strcspn(text, "}");
        snprintf(key, sizeof(key), "%.*s", (int)length, text);
        text += length + 2;
        if (key[0] == '#') {
            section = find_setting(settings, key + 1);
        }
        else if (key[0] != '/') {
            fputs(strcmp(key, ".") == 0 ? section
                                        : find_setting(settings, key),
                  out);
        }
    }
}

static void
write_settings(const rig_node *node)
{
    char text[65536];
    setting settings[16];
    FILE *in = fopen(rig.template_path, "r");
    if (in == NULL) {
        rig_give_up("no template");
    }
    text[fread(text, 1, sizeof(text) - 1, in)] = '\0';
    fclose(in);
    fill_settings(settings, node);
    FILE *out = fopen(node->settings, "w");
    render(out, text, settings);
    fclose(out);
}

/* Start the process of a node, with the command of the deploy file. */
void
rig_start_node(rig_node *node)
{
    char command[256];
    char variable[300];
    char *arguments[16] = {NULL};
    int count = 0;
    write_settings(node);
    snprintf(command, sizeof(command), "%s", rig.run);
    char *rest = NULL;
    for (char *word = strtok_r(command, " ", &rest);
         word != NULL && count < 15; word = strtok_r(NULL, " ", &rest)) {
        arguments[count++] = word;
    }
    snprintf(variable, sizeof(variable), "LAVENDERFIELD_BOOT=%s",
             node->settings);
    char *environment[] = {variable, "PATH=/usr/bin:/bin", NULL};
    int log = open(node->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    pid_t pid = fork();
    if (pid == 0) {
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execve(arguments[0], arguments, environment);
        _exit(127);
    }
    close(log);
    node->pid = pid;
    rig_note("%s starts", node->name);
}

void
rig_signal_node(rig_node *node, int signal_number)
{
    rig_note("%s gets signal %d (%s)", node->name, signal_number,
             strsignal(signal_number));
    kill(node->pid, signal_number);
}

/* Wait until the process of a node has ended. */
bool
rig_wait_exit(rig_node *node, int timeout_ms)
{
    int status = 0;
    int64_t end_ms = rig_now_ms() + timeout_ms;
    while (rig_now_ms() < end_ms) {
        if (waitpid(node->pid, &status, WNOHANG) == node->pid) {
            rig_note("%s has ended: %s %d", node->name,
                     WIFSIGNALED(status) ? "signal" : "status",
                     WIFSIGNALED(status) ? WTERMSIG(status)
                                         : WEXITSTATUS(status));
            node->pid = 0;
            return true;
        }
        rig_sleep_ms(10);
    }
    return false;
}

/* Send a call of the instance to the control address; the status. */
static int
call_control(rig_node *node, const char *method, const char *body)
{
    char text[1024];
    rig_message answer = {0};
    int fd = rig_connect(node->ip, node->ports[RIG_CONTROL], 0);
    int size = snprintf(text, sizeof(text),
                        "%s /api/instances/%s HTTP/1.1\r\nHost: %s\r\n"
                        "Content-Type: application/json\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        method, node->instance, node->ip, strlen(body), body);
    if (fd >= 0 && rig_send(fd, text, (size_t)size) &&
        rig_read_head(&answer, fd, 1000)) {
        rig_read_body(&answer, fd, 1000);
    }
    rig_clear(&answer);
    if (fd >= 0) {
        close(fd);
    }
    return answer.status;
}

/* Send a heartbeat of the instance to its node; the status. */
int
rig_beat(rig_node *node)
{
    char body[512];
    snprintf(body, sizeof(body),
             "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
             "\"version\":\"v1\",\"concurrency\":%d,\"state\":\"%s\","
             "\"warmup_left\":\"0ms\",\"sequence\":%ld,\"born\":%ld}",
             node->service, node->ip, node->ports[RIG_INSTANCE], node->zone,
             node->slots, node->leaving ? "draining" : "ready",
             ++node->sequence, node->born_ms);
    return call_control(node, "PUT", body);
}

/* Send the instance's DELETE; the status. */
int
rig_leave(rig_node *node)
{
    return call_control(node, "DELETE", "");
}

static void *
beat_all(void *payload)
{
    (void)payload;
    for (;;) {
        for (int i = 0; i < rig.node_count; i++) {
            if (rig.nodes[i].beats) {
                rig_beat(&rig.nodes[i]);
            }
        }
        rig_sleep_ms(BEAT_MS);
    }
    return NULL;
}

/* Wait until a node says that it is ready. */
bool
rig_wait_ready(rig_node *node, int timeout_ms)
{
    int64_t end_ms = rig_now_ms() + timeout_ms;
    while (rig_now_ms() < end_ms) {
        rig_message answer = {0};
        int fd = rig_connect(node->ip, node->ports[RIG_READY], 0);
        static const char request[] =
            "GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n";
        if (fd >= 0 && rig_send(fd, request, strlen(request)) &&
            rig_read_head(&answer, fd, 500)) {
            rig_read_body(&answer, fd, 500);
        }
        rig_clear(&answer);
        if (fd >= 0) {
            close(fd);
        }
        if (answer.status == 200) {
            return true;
        }
        rig_sleep_ms(50);
    }
    return false;
}

/* Whether a node has written a text to its log; only to wait for a state of
 * the deployment, never to judge. */
bool
rig_log_has(rig_node *node, const char *text)
{
    char line[8192];
    bool found = false;
    FILE *file = fopen(node->log, "r");
    while (file != NULL && !found && fgets(line, sizeof(line), file) != NULL) {
        found = strstr(line, text) != NULL;
    }
    if (file != NULL) {
        fclose(file);
    }
    return found;
}

bool
rig_wait_log(rig_node *node, const char *text, int timeout_ms)
{
    int64_t end_ms = rig_now_ms() + timeout_ms;
    while (!rig_log_has(node, text)) {
        if (rig_now_ms() >= end_ms) {
            return false;
        }
        rig_sleep_ms(20);
    }
    return true;
}

/* Open the record in `dir` and start the store; `grace` and `drain` are the
 * bounds that the settings give. */
void
rig_open(const char *dir, const char *grace, const char *drain)
{
    char path[512];
    snprintf(path, sizeof(path), "%s/record.txt", dir);
    rig.record = fopen(path, "w");
    rig.start_ms = rig_now_ms();
    if (rig.record == NULL) {
        fprintf(stderr, "cannot write %s\n", path);
        exit(RIG_NOT_RUN);
    }
    setvbuf(rig.record, NULL, _IOLBF, 0);
    signal(SIGPIPE, SIG_IGN);
    signal(SIGALRM, on_signal);
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    alarm(LIFETIME_S);
    const char *temporary = getenv("TMPDIR");
    snprintf(rig_dir, sizeof(rig_dir), "%s/review-2-XXXXXX",
             temporary == NULL ? "/tmp" : temporary);
    read_deploy_text(rig.run, sizeof(rig.run), "run");
    read_deploy_text(rig.template_path, sizeof(rig.template_path), "template");
    if (mkdtemp(rig_dir) == NULL || rig.run[0] == '\0' ||
        access(rig.run, X_OK) != 0) {
        rig_give_up("no temporary folder, or the build of the deploy file "
                    "has not run");
    }
    if (getrandom(rig.net, sizeof(rig.net), 0) < 0) {
        rig_give_up("no random numbers");
    }
    rig.net[0] = (unsigned char)(64 + rig.net[0] % 128);
    snprintf(rig.grace, sizeof(rig.grace), "%s", grace);
    snprintf(rig.drain, sizeof(rig.drain), "%s", drain);
    snprintf(rig.store_ip, sizeof(rig.store_ip), "127.%u.%u.%d", rig.net[0],
             rig.net[1], STORE_IP_SUFFIX);
    rig.store.revision = 100;
    serve_at(rig_listen(rig.store_ip, &rig.store_port, 0), NULL);
    start_thread(beat_all, NULL);
    rig_note("the disruption is %s", rig_is_troubled() ? "on" : "off");
}
