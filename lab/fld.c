#include "fld.h"

#include <ftw.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "lav/clock.h"
#include "lav/http_sync.h"
#include "lav/nodecfg.h"
#include "prc.h"

#define FLD_STOP_MS 15000
#define FLD_POLL_US 50000
#define FLD_HTTP_TIMEOUT_S 2
#define FLD_ANSWER_MAX (4 * 1024 * 1024)
#define FLD_ARGUMENTS_MAX 64
#define FLD_TEXT_MAX 4096
#define FLD_PUBLISH_MS 60000 /* 60 s: a busy machine may take its time */

/* Prepare a run of a deployment with the programs of a build folder. */
int
fld_init(fld *f, const char *programs, const dep *deployment, err *e)
{
    const char *temporary = getenv("TMPDIR");
    memset(f, 0, sizeof(*f));
    f->deployment = *deployment;
    f->linger_ms = 3000;
    f->calls_max = 2048;
    snprintf(f->programs, sizeof(f->programs), "%s", programs);
    snprintf(f->folder, sizeof(f->folder), "%s/lavenderfield-XXXXXX",
             temporary == NULL ? "/tmp" : temporary);
    if (mkdtemp(f->folder) == NULL) {
        return ERR_SET(e, ERR_IO, "no folder for the run");
    }
    f->platform_port = prc_free_port();
    for (size_t i = 0; i < f->deployment.service_count; i++) {
        const dep_service *service = &f->deployment.services[i];
        for (int k = 0; k < service->instances; k++) {
            fld_instance *instance = &f->instances[f->count];
            if (f->count++ == FLD_INSTANCES_MAX - 1) {
                return ERR_SET(e, ERR_FULL, "too many instances");
            }
            snprintf(instance->name, sizeof(instance->name), "%.40s-%d",
                     service->name, k);
            snprintf(
                instance->zone, sizeof(instance->zone), "%.47s",
                deployment->zones.items[(size_t)k % deployment->zones.count]);
            instance->service = service;
            instance->callers_port = prc_free_port();
            instance->target_side_port = prc_free_port();
            instance->peer_port = prc_free_port();
            instance->control_port = prc_free_port();
            instance->port = prc_free_port();
        }
    }
    return 0;
}

/* Path of an instance's execution log. */
void
fld_log_path(char *out, size_t size, const fld *f,
             const fld_instance *instance)
{
    snprintf(out, size, "%s/%s.executions", f->folder, instance->name);
}

static int
fld_spawn(fld *f, pid_t *out, const char *program, char **arguments,
          const char *log_name, err *e)
{
    char path[FLD_PATH_SIZE * 2];
    char log[FLD_PATH_SIZE * 2];
    char *argv[FLD_ARGUMENTS_MAX] = {path};
    int count = 1;
    snprintf(path, sizeof(path), "%s/%s", f->programs, program);
    snprintf(log, sizeof(log), "%s/%s.log", f->folder, log_name);
    for (; *arguments != NULL && count < FLD_ARGUMENTS_MAX - 1; count++) {
        argv[count] = *arguments++;
    }
    return prc_start(out, argv, log, e);
}

/* Start the platform's stand-in. */
int
fld_start_platform(fld *f, err *e)
{
    char port[16];
    char *arguments[] = {port, NULL};
    snprintf(port, sizeof(port), "%d", f->platform_port);
    return fld_spawn(f, &f->platform, "standin-platform", arguments,
                     "platform", e);
}

static int
fld_write_file(const char *path, const char *text, err *e)
{
    FILE *file = fopen(path, "wb");
    if (file == NULL || fputs(text, file) < 0 || fclose(file) != 0) {
        return ERR_SET_AT(e, ERR_IO, path, 0, "can't be written");
    }
    return 0;
}

static int
fld_write_settings(const fld *f, const fld_instance *i, const char *path,
                   err *e)
{
    char text[FLD_TEXT_MAX];
    int platform_port = f->platform_advertised_port != 0
                            ? f->platform_advertised_port
                            : f->platform_port;
    int peer = i->advertised_peer_port;
    int control = i->advertised_control_port;
    snprintf(text, sizeof(text),
             "[node]\nname = \"%s\"\nservice = \"%s\"\n"
             "availability_zone = \"%s\"\naddress = \"127.0.0.1\"\n"
             "callers_port = %d\ntarget_port = %d\npeer_port = %d\n"
             "control_port = %d\nadvertised_peer_port = %d\n"
             "advertised_control_port = %d\n[platform]\n"
             "url = \"http://127.0.0.1:%d\"\n[limits]\nlinger = "
             "\"%dms\"\ncalls = %d\n"
             "[peers]\nseeds = [\"127.0.0.1:%d\", \"127.0.0.1:%d\"]\n",
             i->name, i->service->name, i->zone, i->callers_port,
             i->target_side_port, i->peer_port, i->control_port,
             peer != 0 ? peer : i->peer_port,
             control != 0 ? control : i->control_port, platform_port,
             f->linger_ms, f->calls_max, f->instances[0].control_port,
             f->instances[f->count / 2].control_port);
    return fld_write_file(path, text, e);
}

/* Start (or start anew) the node of an instance. */
int
fld_start_node(fld *f, fld_instance *instance, err *e)
{
    char path[FLD_PATH_SIZE * 2];
    char *arguments[] = {"--settings", path, NULL};
    snprintf(path, sizeof(path), "%s/%s.toml", f->folder, instance->name);
    int result = fld_write_settings(f, instance, path, e);
    if (result < 0) {
        return result;
    }
    return fld_spawn(f, &instance->node, "lav-node", arguments, instance->name,
                     e);
}

static int
fld_load_service(svc_file **out, char **out_text, const fld *f,
                 const char *name, err *e)
{
    char path[FLD_PATH_SIZE * 2];
    snprintf(path, sizeof(path), "%s/services/%s.toml", f->deployment.folder,
             name);
    int result = nodecfg_read_text_file(out_text, path, SVC_FILE_SIZE_MAX, e);
    if (result == 0) {
        result = svc_parse(out, *out_text, path, e);
    }
    return result;
}

/* "operation:ms:service/op+service/op", as the stand-in takes it. */
static void
fld_operation_text(char *out, size_t size, const svc_operation *operation,
                   const dep_service *service)
{
    size_t used = (size_t)snprintf(out, size, "%s:%d:", operation->name,
                                   dep_time_ms(service, operation->name));
    for (size_t i = 0; i < operation->calls.count; i++) {
        char call[TOML_ITEM_SIZE];
        snprintf(call, sizeof(call), "%s", operation->calls.items[i]);
        *strchr(call, '.') = '/';
        used += (size_t)snprintf(out + used, size - used, "%s%s",
                                 i > 0 ? "+" : "", call);
    }
}

/* Start (or start anew) the target of an instance. */
int
fld_start_target(fld *f, fld_instance *instance, err *e)
{
    static char texts[SVC_OPERATIONS_MAX][512];
    char log[FLD_PATH_SIZE * 2];
    char numbers[6][16];
    svc_file *file = NULL;
    char *text = NULL;
    const dep_service *service = instance->service;
    int port = instance->advertised_port;
    int result = fld_load_service(&file, &text, f, service->name, e);
    if (result < 0 || file == NULL) {
        free(text);
        return result;
    }
    fld_log_path(log, sizeof(log), f, instance);
    snprintf(numbers[0], 16, "%d", instance->port);
    snprintf(numbers[1], 16, "%d", instance->target_side_port);
    snprintf(numbers[2], 16, "%d", (int)service->slots);
    snprintf(numbers[3], 16, "%d", (int)service->announced_slots);
    snprintf(numbers[4], 16, "%d", (int)service->cold_ms);
    snprintf(numbers[5], 16, "%d", port != 0 ? port : instance->port);
    char *arguments[FLD_ARGUMENTS_MAX] = {
        "--port",    numbers[0], "--node-port",       numbers[1],
        "--slots",   numbers[2], "--announced-slots", numbers[3],
        "--cold-ms", numbers[4], "--announced-port",  numbers[5],
        "--log",     log};
    int count = 14;
    for (size_t i = 0; i < file->operation_count; i++) {
        fld_operation_text(texts[i], sizeof(texts[i]), &file->operations[i],
                           service);
        arguments[count++] = "--operation";
        arguments[count++] = texts[i];
    }
    result = fld_spawn(f, &instance->target, "standin-target", arguments,
                       instance->name, e);
    svc_free(file);
    free(text);
    return result;
}

/* Copy a service's file into the run's folder with the run's policy. */
static int
fld_copy_service(const fld *f, const char *name, char *path, size_t size,
                 err *e)
{
    svc_file *file = NULL;
    char *text = NULL;
    char whole[SVC_FILE_SIZE_MAX + FLD_TEXT_MAX];
    int result = fld_load_service(&file, &text, f, name, e);
    svc_free(file);
    if (result < 0) {
        free(text);
        return result;
    }
    char *policy = strstr(text, "[policy]\n");
    if (f->policy[0] == '\0') {
        snprintf(whole, sizeof(whole), "%s", text);
    }
    else if (policy == NULL) {
        snprintf(whole, sizeof(whole), "[policy]\n%s\n%s", f->policy, text);
    }
    else {
        snprintf(whole, sizeof(whole), "%.*s[policy]\n%s%s",
                 (int)(policy - text), text, f->policy,
                 policy + strlen("[policy]\n"));
    }
    free(text);
    snprintf(path, size, "%s/service-%s.toml", f->folder, name);
    return fld_write_file(path, whole, e);
}

/* Publish the deployment's service files by the operator's program. */
int
fld_publish(fld *f, err *e)
{
    static char paths[DEP_SERVICES_MAX][FLD_PATH_SIZE * 2];
    char url[64];
    char *arguments[FLD_ARGUMENTS_MAX] = {"--platform", url, "--wait", "8"};
    int count = 4;
    pid_t publisher = PRC_NONE;
    snprintf(url, sizeof(url), "http://127.0.0.1:%d", f->platform_port);
    for (size_t i = 0; i < f->deployment.service_count; i++) {
        int result = fld_copy_service(f, f->deployment.services[i].name,
                                      paths[i], sizeof(paths[i]), e);
        if (result < 0) {
            return result;
        }
        arguments[count++] = paths[i];
    }
    int result =
        fld_spawn(f, &publisher, "lav-publish", arguments, "publish", e);
    if (result < 0) {
        return result;
    }
    int status = prc_wait(&publisher, FLD_PUBLISH_MS);
    if (status != 0) {
        prc_kill(&publisher);
        return ERR_SET(e, ERR_INVALID, "publishing ended with status %d",
                       status);
    }
    return 0;
}

/* Body of a GET at a loopback port; free() after, NULL without an answer. */
char *
fld_get(int port, const char *path)
{
    char url[64];
    char *text = NULL;
    snprintf(url, sizeof(url), "http://127.0.0.1:%d", port);
    (void)http_sync_get_text(&text, url, path, FLD_HTTP_TIMEOUT_S,
                             FLD_ANSWER_MAX);
    return text;
}

/* Set switches of a stand-in, as "outage=1"; 0, or -1 without an answer. */
int
fld_admin(int port, const char *query)
{
    char path[128];
    snprintf(path, sizeof(path), "/admin?%s", query);
    char *body = fld_get(port, path);
    int result = body == NULL ? -1 : 0;
    free(body);
    return result;
}

/* A number in a node's status, or -1 without an answer. */
int64_t
fld_status_int(const fld_instance *instance, const char *group,
               const char *key)
{
    char *text = fld_get(instance->callers_port, "/lav/status");
    json_t *status = text == NULL ? NULL : json_loads(text, 0, NULL);
    json_t *part = group == NULL ? status : json_object_get(status, group);
    json_t *value = json_object_get(part, key);
    int64_t number = json_is_true(value) ? 1 : json_integer_value(value);
    if (status == NULL) {
        number = -1;
    }
    json_decref(status);
    free(text);
    return number;
}

/* Members that a node sees as ready, or, without targets, at all. */
static int
fld_ready_members(const fld *f, const fld_instance *instance)
{
    char *text = fld_get(instance->callers_port, "/lav/status");
    json_t *status = text == NULL ? NULL : json_loads(text, 0, NULL);
    size_t index;
    json_t *member;
    int ready = 0;
    json_array_foreach(json_object_get(status, "members"), index, member)
    {
        const char *state =
            json_string_value(json_object_get(member, "state"));
        bool counts = state != NULL && strcmp(state, "ready") == 0;
        ready += counts || f->without_targets ? 1 : 0;
    }
    json_decref(status);
    free(text);
    return ready;
}

/* Wait until every node that runs sees every instance that runs as ready
 * and has a configuration. */
int
fld_wait_ready(fld *f, int timeout_ms, err *e)
{
    int64_t end_us = clock_now_us() + (int64_t)timeout_ms * CLOCK_US_PER_MS;
    int running = 0;
    for (size_t i = 0; i < f->count; i++) {
        running += f->instances[i].node > 0 ? 1 : 0;
    }
    for (;;) {
        bool all = true;
        for (size_t i = 0; i < f->count && all; i++) {
            const fld_instance *instance = &f->instances[i];
            all = instance->node <= 0 ||
                  (fld_ready_members(f, instance) >= running &&
                   fld_status_int(instance, NULL, "config_version") > 0);
        }
        if (all) {
            return 0;
        }
        if (clock_now_us() > end_us) {
            return ERR_SET(e, ERR_UNAVAILABLE,
                           "the nodes are not all ready (see %s)", f->folder);
        }
        clock_sleep_us(FLD_POLL_US);
    }
}

/* Start everything, publish the files and wait until all is ready. */
int
fld_start(fld *f, err *e)
{
    int result = fld_start_platform(f, e);
    for (size_t i = 0; result == 0 && i < f->count; i++) {
        result = fld_start_node(f, &f->instances[i], e);
        if (result == 0 && !f->without_targets) {
            result = fld_start_target(f, &f->instances[i], e);
        }
    }
    if (result == 0) {
        result = fld_publish(f, e);
    }
    if (result == 0) {
        result = fld_wait_ready(f, FLD_PUBLISH_MS, e);
    }
    return result;
}

static int
fld_remove_entry(const char *path, const struct stat *status, int kind,
                 struct FTW *walk)
{
    (void)status;
    (void)kind;
    (void)walk;
    return remove(path);
}

/* End every process and remove the run's folder.  LAV_KEEP_RUNS=1 keeps it,
 * for its logs. */
void
fld_stop(fld *f)
{
    for (size_t i = 0; i < f->count; i++) {
        prc_signal(f->instances[i].node, SIGCONT);
        prc_signal(f->instances[i].target, SIGCONT);
        prc_kill(&f->instances[i].target);
        prc_kill(&f->instances[i].node);
    }
    prc_kill(&f->platform);
    if (getenv("LAV_KEEP_RUNS") == NULL) {
        nftw(f->folder, fld_remove_entry, 8, FTW_DEPTH | FTW_PHYS);
    }
}

/* Processes of the run that have not been waited for. */
int
fld_leftover(const fld *f)
{
    int left = f->platform > 0 ? 1 : 0;
    for (size_t i = 0; i < f->count; i++) {
        left += f->instances[i].node > 0 ? 1 : 0;
        left += f->instances[i].target > 0 ? 1 : 0;
    }
    return left;
}

/* The n-th instance of a service, or NULL. */
fld_instance *
fld_find(fld *f, const char *service, int index)
{
    for (size_t i = 0; i < f->count; i++) {
        if (strcmp(f->instances[i].service->name, service) == 0 &&
            index-- == 0) {
            return &f->instances[i];
        }
    }
    return NULL;
}
