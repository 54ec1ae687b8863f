/*
 * Fails system calls of one process on purpose. Preloaded into a sender by the rig, which steers it while the process runs through
 * a small shared file named by FAILING_CALLS_CONTROL (layout: struct control below, native byte order). Without that variable, or
 * with all shares 0, every call passes through unchanged. Files count only below the folder named by FAILING_CALLS_FOLDER.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* In the order of slipfield.rig.FailingCalls.Call. */
enum call { SOCKET, CONNECT, ACCEPT, SOCKET_READ, SOCKET_WRITE, FILE_OPEN, FILE_READ, FILE_WRITE, FILE_TRUNCATE, FILE_RENAME, FILE_CLOSE,
    FILE_SYNC, CALLS };

/* In the order of slipfield.rig.FailingCalls.Effect. */
enum effect { FAIL, SHORTEN, KILL_HALFWAY, FAIL_HALFWAY };

struct rule {
    int32_t share_per_mille;
    int32_t effect;
    int32_t error;
    /* Calls that were struck so far; written here. */
    int32_t struck;
};

struct control {
    int64_t wall_clock_step_ms;
    struct rule rules[CALLS];
};

#define MOST_DESCRIPTORS 8192
enum kind { OTHER, IS_SOCKET, IS_FILE };

static struct control *control;
static const char *folder;
static unsigned char kinds[MOST_DESCRIPTORS];
/* The last write was cut in half: the next one fails. */
static unsigned char cut_in_half[MOST_DESCRIPTORS];
static __thread uint64_t random_state;

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("FAILING_CALLS_CONTROL");
    folder = getenv("FAILING_CALLS_FOLDER");
    if (!path) {
        return;
    }
    int fd = open(path, O_RDWR);
    if (fd < 0) {
        return;
    }
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    control = mapped == MAP_FAILED ? NULL : mapped;
}

static void *next_of(const char *name) {
    return dlsym(RTLD_NEXT, name);
}

/* Declares `next`, the C library's own function of this name. */
#define NEXT(function) static __typeof__(function) *next; if (!next) next = (__typeof__(function) *) next_of(#function)

static uint32_t draw(void) {
    if (!random_state) {
        struct timespec now;
        clock_gettime(CLOCK_MONOTONIC, &now);
        random_state = (uint64_t) now.tv_nsec * 2654435761u ^ (uint64_t) (uintptr_t) &random_state ^ 88172645463325252u;
    }
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return (uint32_t) (random_state >> 32);
}

/* The rule that strikes this call, or NULL. */
static struct rule *struck(enum call call) {
    if (!control) {
        return NULL;
    }
    struct rule *rule = &control->rules[call];
    int32_t share = __atomic_load_n(&rule->share_per_mille, __ATOMIC_RELAXED);
    if (share <= 0 || (int32_t) (draw() % 1000) >= share) {
        return NULL;
    }
    __atomic_add_fetch(&rule->struck, 1, __ATOMIC_RELAXED);
    return rule;
}

static int fails(enum call call) {
    struct rule *rule = struck(call);
    if (rule) {
        errno = rule->error;
    }
    return rule != NULL;
}

static int kind_of(int fd) {
    return fd >= 0 && fd < MOST_DESCRIPTORS ? kinds[fd] : OTHER;
}

static int mark(int fd, enum kind kind) {
    if (fd >= 0 && fd < MOST_DESCRIPTORS) {
        kinds[fd] = kind;
    }
    return fd;
}

static int in_folder(const char *path) {
    return folder && path && strncmp(path, folder, strlen(folder)) == 0;
}

int socket(int domain, int type, int protocol) {
    NEXT(socket);
    int counts = (domain == AF_INET || domain == AF_INET6) && (type & 0xf) == SOCK_STREAM;
    if (counts && fails(SOCKET)) {
        return -1;
    }
    return mark(next(domain, type, protocol), counts ? IS_SOCKET : OTHER);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    NEXT(connect);
    return kind_of(fd) == IS_SOCKET && fails(CONNECT) ? -1 : next(fd, address, length);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    NEXT(accept);
    return fails(ACCEPT) ? -1 : mark(next(fd, address, length), IS_SOCKET);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    NEXT(accept4);
    return fails(ACCEPT) ? -1 : mark(next(fd, address, length, flags), IS_SOCKET);
}

static int open_flags(const char *name, const char *path, int flags, mode_t mode) {
    int (*next)(const char *, int, ...) = (int (*)(const char *, int, ...)) next_of(name);
    int ours = in_folder(path);
    if (ours && fails(FILE_OPEN)) {
        return -1;
    }
    return mark(next(path, flags, mode), ours ? IS_FILE : OTHER);
}

int open(const char *path, int flags, ...) {
    va_list more;
    va_start(more, flags);
    mode_t mode = va_arg(more, mode_t);
    va_end(more);
    return open_flags("open", path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    va_list more;
    va_start(more, flags);
    mode_t mode = va_arg(more, mode_t);
    va_end(more);
    return open_flags("open64", path, flags, mode);
}

int close(int fd) {
    NEXT(close);
    int file = kind_of(fd) == IS_FILE;
    mark(fd, OTHER);
    int result = next(fd);
    /* As Linux does: the descriptor is gone, whatever the call says. */
    return file && fails(FILE_CLOSE) ? -1 : result;
}

ssize_t read(int fd, void *bytes, size_t count) {
    NEXT(read);
    int kind = kind_of(fd);
    struct rule *rule = kind == OTHER ? NULL : struck(kind == IS_FILE ? FILE_READ : SOCKET_READ);
    if (!rule) {
        return next(fd, bytes, count);
    }
    if (rule->effect == FAIL) {
        errno = rule->error;
        return -1;
    }
    return next(fd, bytes, count > 1 ? 1 + draw() % (count / 2 < 64 ? count / 2 : 64) : count);
}

static ssize_t write_struck(int fd, const void *bytes, size_t count, struct rule *rule) {
    NEXT(write);
    if (rule->effect == FAIL) {
        errno = rule->error;
        return -1;
    }
    if (rule->effect == FAIL_HALFWAY && fd < MOST_DESCRIPTORS) {
        cut_in_half[fd] = !cut_in_half[fd];
        if (!cut_in_half[fd]) {
            errno = rule->error;
            return -1;
        }
    }
    ssize_t half = next(fd, bytes, count > 1 ? count / 2 : count);
    if (rule->effect == KILL_HALFWAY) {
        kill(getpid(), SIGKILL);
    }
    return half;
}

ssize_t write(int fd, const void *bytes, size_t count) {
    NEXT(write);
    int kind = kind_of(fd);
    struct rule *rule = kind == OTHER ? NULL : struck(kind == IS_FILE ? FILE_WRITE : SOCKET_WRITE);
    return rule ? write_struck(fd, bytes, count, rule) : next(fd, bytes, count);
}

ssize_t writev(int fd, const struct iovec *pieces, int count) {
    NEXT(writev);
    int kind = kind_of(fd);
    struct rule *rule = kind == OTHER || count == 0 ? NULL : struck(kind == IS_FILE ? FILE_WRITE : SOCKET_WRITE);
    return rule ? write_struck(fd, pieces[0].iov_base, pieces[0].iov_len, rule) : next(fd, pieces, count);
}

int ftruncate(int fd, off_t length) {
    NEXT(ftruncate);
    return kind_of(fd) == IS_FILE && fails(FILE_TRUNCATE) ? -1 : next(fd, length);
}

int ftruncate64(int fd, off64_t length) {
    NEXT(ftruncate64);
    return kind_of(fd) == IS_FILE && fails(FILE_TRUNCATE) ? -1 : next(fd, length);
}

int rename(const char *from, const char *to) {
    NEXT(rename);
    return in_folder(to) && fails(FILE_RENAME) ? -1 : next(from, to);
}

int fsync(int fd) {
    NEXT(fsync);
    return kind_of(fd) == IS_FILE && fails(FILE_SYNC) ? -1 : next(fd);
}

int fdatasync(int fd) {
    NEXT(fdatasync);
    return kind_of(fd) == IS_FILE && fails(FILE_SYNC) ? -1 : next(fd);
}

static int64_t step_ms(void) {
    return control ? __atomic_load_n(&control->wall_clock_step_ms, __ATOMIC_RELAXED) : 0;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    NEXT(clock_gettime);
    int result = next(clock, time);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t nanos = time->tv_sec * 1000000000LL + time->tv_nsec + step_ms() * 1000000LL;
        time->tv_sec = nanos / 1000000000LL;
        time->tv_nsec = nanos % 1000000000LL;
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    NEXT(gettimeofday);
    int result = next(time, zone);
    if (result == 0) {
        int64_t micros = time->tv_sec * 1000000LL + time->tv_usec + step_ms() * 1000LL;
        time->tv_sec = micros / 1000000LL;
        time->tv_usec = micros % 1000000LL;
    }
    return result;
}
