#include "tcp_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

volatile int tcp_server_request_count;

static int tcp_listener;
static int tcp_dropped_until;
static int tcp_requests; /* requests since tcp_server_start() */
static pthread_t tcp_thread;

static const char tcp_complete_response[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
static const char tcp_partial_response[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf";

/* Serve one connection until either side closes it.  A request counts once a
 * read contains the end of its head. */
static void
tcp_serve(int connection)
{
    char buffer[4096];
    for (;;) {
        ssize_t length = recv(connection, buffer, sizeof(buffer) - 1, 0);
        if (length <= 0) {
            return;
        }
        buffer[length] = '\0';
        if (strstr(buffer, "\r\n\r\n") == NULL) {
            continue;
        }
        tcp_server_request_count++;
        tcp_requests++;
        if (strncmp(buffer, "GET /cut", 8) == 0) {
            send(connection, tcp_partial_response,
                 sizeof(tcp_partial_response) - 1, MSG_NOSIGNAL);
            return;
        }
        if (tcp_requests != 1 && tcp_requests <= tcp_dropped_until) {
            return;
        }
        send(connection, tcp_complete_response,
             sizeof(tcp_complete_response) - 1, MSG_NOSIGNAL);
    }
}

static void *
tcp_main(void *payload)
{
    (void)payload;
    for (;;) {
        int connection = accept(tcp_listener, NULL, NULL);
        if (connection < 0) {
            return NULL;
        }
        tcp_serve(connection);
        close(connection);
    }
}

void
tcp_server_start(int port, int dropped_until)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    int on = 1;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    tcp_dropped_until = dropped_until;
    tcp_requests = 0;
    tcp_listener = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(tcp_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(tcp_listener, (struct sockaddr *)&address, sizeof(address)) !=
        0) {
        abort();
    }
    listen(tcp_listener, 8);
    pthread_create(&tcp_thread, NULL, tcp_main, NULL);
}

/* Stop the server and wait for its thread. */
void
tcp_server_stop(void)
{
    shutdown(tcp_listener, SHUT_RDWR);
    close(tcp_listener);
    pthread_join(tcp_thread, NULL);
}
