/* Preloaded into a node (LD_PRELOAD) so that the soak can make its wall clock
 * jump: the file named by JMP_FILE holds the offset in milliseconds.
 * Monotonic clocks are not changed. */
#include <dlfcn.h>
#include <fcntl.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#define FAKETIME_TEXT_SIZE 32
#define FAKETIME_MS_PER_S 1000
#define FAKETIME_NS_PER_MS 1000000L
#define FAKETIME_NS_PER_S 1000000000L

typedef int (*faketime_gettime)(clockid_t, struct timespec *);

static long long
faketime_offset_ms(void)
{
    char text[FAKETIME_TEXT_SIZE] = "";
    const char *path = getenv("JMP_FILE");
    int fd = path == NULL ? -1 : open(path, O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        return 0;
    }
    ssize_t length = read(fd, text, sizeof(text) - 1);
    close(fd);
    return length > 0 ? strtoll(text, NULL, 10) : 0;
}

/* Wraps the C library's function and adds the offset to the wall clock. */
int
clock_gettime(clockid_t id, struct timespec *out)
{
    static faketime_gettime original;
    if (original == NULL) {
        original = (faketime_gettime)dlsym(RTLD_NEXT, "clock_gettime");
    }
    int result = original(id, out);
    if (result != 0 || id != CLOCK_REALTIME) {
        return result;
    }
    long long ahead_ms = faketime_offset_ms();
    out->tv_sec += ahead_ms / FAKETIME_MS_PER_S;
    out->tv_nsec += (long)(ahead_ms % FAKETIME_MS_PER_S) * FAKETIME_NS_PER_MS;
    if (out->tv_nsec < 0) {
        out->tv_nsec += FAKETIME_NS_PER_S;
        out->tv_sec--;
    }
    else if (out->tv_nsec >= FAKETIME_NS_PER_S) {
        out->tv_nsec -= FAKETIME_NS_PER_S;
        out->tv_sec++;
    }
    return 0;
}
