/*
 * Injects system call failures into a process under test. The library is loaded by LD_PRELOAD and maps the file
 * named by SYSCALL_FAULTS, a table with one rule per system call that the test changes while the process runs.
 * It does nothing if the variable is unset. SyscallFaults.java writes the table.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <unistd.h>

/* Same order as SyscallFaults.Call. */
enum call { ACCEPT, SOCKET, CONNECT, BIND, LISTEN, READ, WRITE, EPOLL_WAIT, EPOLL_CTL, SETSOCKOPT, FCNTL, OPEN, CLOSE, LOG, CALLS };

#define SHORT_TRANSFER (-1) /* as an error: transfers only a few bytes */
#define MAX_SHORT_BYTES 7

struct rule {
    volatile int32_t error;
    volatile int32_t percent;
    volatile int32_t injected;
    volatile int32_t unused;
};

struct table {
    volatile uint64_t seed;
    struct rule rules[CALLS];
};

static struct table *table;
static const char *config_path;

#define REAL(name) ((__typeof__(&name))next_symbol(#name))

static void *next_symbol(const char *name)
{
    return dlsym(RTLD_NEXT, name);
}

__attribute__((constructor)) static void map_table(void)
{
    const char *file = getenv("SYSCALL_FAULTS");
    int fd = file == NULL ? -1 : REAL(open64)(file, O_RDWR);
    if (fd < 0) {
        return;
    }
    void *mapped = mmap(NULL, sizeof(struct table), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    REAL(close)(fd);
    config_path = getenv("BALANCER_CONFIG");
    table = mapped == MAP_FAILED ? NULL : mapped;
}

/* xorshift64*; a data race between threads at worst repeats or loses a random number. */
static uint32_t next_random(void)
{
    uint64_t x = table->seed;
    x ^= x >> 12;
    x ^= x << 25;
    x ^= x >> 27;
    table->seed = x;
    return (uint32_t)((x * 2685821657736338717ULL) >> 33);
}

/* Returns the errno value to inject into this call, SHORT_TRANSFER, or 0 for none. */
static int pick_fault(enum call call)
{
    if (table == NULL || table->rules[call].percent == 0) {
        return 0;
    }
    if (next_random() % 100 >= (uint32_t)table->rules[call].percent) {
        return 0;
    }
    __sync_fetch_and_add(&table->rules[call].injected, 1);
    return table->rules[call].error;
}

/* Whether this call has to fail; sets errno. */
static int fails(enum call call)
{
    int error = pick_fault(call);
    if (error <= 0) {
        return 0;
    }
    errno = error;
    return 1;
}

static int is_socket(int fd)
{
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

static size_t short_length(size_t length)
{
    size_t max = 1 + next_random() % MAX_SHORT_BYTES;
    return length < max ? length : max;
}

int accept(int fd, struct sockaddr *address, socklen_t *length)
{
    return fails(ACCEPT) ? -1 : REAL(accept)(fd, address, length);
}

int socket(int domain, int type, int protocol)
{
    return fails(SOCKET) ? -1 : REAL(socket)(domain, type, protocol);
}

/* As in Linux, an interrupted connect continues in the background. */
int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    int error = pick_fault(CONNECT);
    if (error == EINTR) {
        REAL(connect)(fd, address, length);
    }
    if (error > 0) {
        errno = error;
        return -1;
    }
    return REAL(connect)(fd, address, length);
}

int bind(int fd, const struct sockaddr *address, socklen_t length)
{
    return fails(BIND) ? -1 : REAL(bind)(fd, address, length);
}

int listen(int fd, int backlog)
{
    return fails(LISTEN) ? -1 : REAL(listen)(fd, backlog);
}

ssize_t read(int fd, void *bytes, size_t length)
{
    int error = table != NULL && is_socket(fd) ? pick_fault(READ) : 0;
    if (error > 0) {
        errno = error;
        return -1;
    }
    return REAL(read)(fd, bytes, error == SHORT_TRANSFER ? short_length(length) : length);
}

ssize_t write(int fd, const void *bytes, size_t length)
{
    int error = table == NULL ? 0 : fd == STDERR_FILENO ? pick_fault(LOG) : is_socket(fd) ? pick_fault(WRITE) : 0;
    if (error > 0) {
        errno = error;
        return -1;
    }
    return REAL(write)(fd, bytes, error == SHORT_TRANSFER ? short_length(length) : length);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
    int error = table != NULL && is_socket(fd) ? pick_fault(WRITE) : 0;
    if (error > 0) {
        errno = error;
        return -1;
    }
    return error == SHORT_TRANSFER
        ? REAL(write)(fd, parts[0].iov_base, short_length(parts[0].iov_len))
        : REAL(writev)(fd, parts, count);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout)
{
    return fails(EPOLL_WAIT) ? -1 : REAL(epoll_wait)(fd, events, max_events, timeout);
}

int epoll_ctl(int fd, int operation, int target, struct epoll_event *event)
{
    return fails(EPOLL_CTL) ? -1 : REAL(epoll_ctl)(fd, operation, target, event);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t length)
{
    return fails(SETSOCKOPT) ? -1 : REAL(setsockopt)(fd, level, name, value, length);
}

int fcntl(int fd, int command, ...)
{
    va_list arguments;
    va_start(arguments, command);
    void *argument = va_arg(arguments, void *);
    va_end(arguments);
    if (command == F_SETFL && table != NULL && is_socket(fd) && fails(FCNTL)) {
        return -1;
    }
    return REAL(fcntl)(fd, command, argument);
}

/* Injects faults only when the configuration file is opened. */
int open64(const char *path, int flags, ...)
{
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = va_arg(arguments, mode_t);
    va_end(arguments);
    if (config_path != NULL && strcmp(path, config_path) == 0 && fails(OPEN)) {
        return -1;
    }
    return REAL(open64)(path, flags, mode);
}

/* As in Linux, a close that fails has closed the descriptor nevertheless. */
int close(int fd)
{
    int must_fail = table != NULL && is_socket(fd) && fails(CLOSE);
    int error = errno;
    int result = REAL(close)(fd);
    if (must_fail) {
        errno = error;
        return -1;
    }
    return result;
}
