/* lav-node: overload control sidecar of a target. */
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>

#include "lav/log.h"
#include "lav/version.h"
#include "node.h"

#define EXIT_USAGE 2    /* bad arguments or settings */
#define EXIT_NO_START 3 /* an address is in use, or memory is short */

/* Requests a planned stop. */
static void
main_on_signal(int signal_number)
{
    (void)signal_number;
    node_request_stop();
}

/* SIGTERM and SIGINT request a planned stop; SIGPIPE is ignored. */
static void
main_install_signal_handlers(void)
{
    struct sigaction action = {.sa_handler = main_on_signal};
    sigaction(SIGTERM, &action, NULL);
    sigaction(SIGINT, &action, NULL);
    signal(SIGPIPE, SIG_IGN);
}

/* Runs the node; returns the exit status. */
static int
main_serve(const nodecfg *settings)
{
    node *n = NULL;
    err e = ERR_INIT;
    if (node_new(&n, settings, &e) < 0) {
        log_write(LOG_ERROR, NULL, "failed to start: %s", e.message);
        return EXIT_NO_START;
    }
    log_write(LOG_INFO, NULL, "serving");
    int result = node_run(n);
    node_free(n);
    return result;
}

int
main(int argc, char **argv)
{
    char *settings_path = NULL;
    gboolean show_version = FALSE;
    GError *error = NULL;
    nodecfg settings;
    err e = ERR_INIT;
    const GOptionEntry entries[] = {
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &settings_path,
         "Settings file of this node", "FILE"},
        {"version", 0, 0, G_OPTION_ARG_NONE, &show_version,
         "Print the version and exit", NULL},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    GOptionContext *context =
        g_option_context_new("- overload control sidecar of one target");
    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_description(
        context, "Exit status: 0 stopped as planned, 2 bad arguments or "
                 "settings, 3 failed to start.");
    bool parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    if (show_version) {
        printf("lav-node %s\n", LAV_VERSION);
        return 0;
    }
    if (!parsed || settings_path == NULL) {
        fprintf(stderr, "lav-node: %s\n",
                parsed ? "--settings is missing" : error->message);
        return EXIT_USAGE;
    }
    if (nodecfg_load(&settings, settings_path, &e) < 0) {
        fprintf(stderr, "%s:%d: %s\n", e.where, e.line, e.message);
        return EXIT_USAGE;
    }
    if (sodium_init() < 0) {
        return EXIT_NO_START;
    }
    log_init(settings.name, (enum log_level)settings.log_level);
    main_install_signal_handlers();
    return main_serve(&settings);
}
