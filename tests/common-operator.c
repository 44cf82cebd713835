#include "common-operator.h"

#include <fcntl.h>
#include <jansson.h>
#include <libgen.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <talloc.h>
#include <unistd.h>

#include "state-tables-edit.h"
#include "state-tables-json.h"

extern char **environ;

/* Sends an answer with a JSON text. */
static void
send_text(FakeDaemon *daemon, uint64_t number, int status, const char *text)
{
    HrBytes body = {(const uint8_t *)text, strlen(text)};

    HrHttpServer_SendAnswer(daemon->server, number, status, "application/json",
                            body);
}

/* Sends an answer with a JSON object and releases the object. */
static void
send_json(FakeDaemon *daemon, uint64_t number, int status, json_t *object)
{
    char *text = json_dumps(object, JSON_COMPACT);

    send_text(daemon, number, status, text);
    json_decref(object);
    free(text);
}

/* Answers GET /v1/tables. */
static void
send_tables(FakeDaemon *daemon, uint64_t number)
{
    if (daemon->tables == NULL) {
        send_text(daemon, number, 200,
                  "{\"revision\":0,\"routes\":[],\"pools\":[]}");
        return;
    }
    send_json(daemon, number, 200,
              HrTables_ToJson(daemon->tables, HR_TABLES_FORMAT_OPERATOR));
}

/* Applies an edit, unless one with its id was applied before. Returns the
 * answer, which the caller releases. */
static json_t *
apply_edit(FakeDaemon *daemon, const HrTablesEdit *edit)
{
    const HrEditRecord *earlier =
        daemon->tables == NULL
            ? NULL
            : HrTables_FindEdit(daemon->tables, edit->edit_id);
    HrError err = {0};
    HrTables *next;

    if (earlier != NULL) {
        return json_pack("{s:s,s:I,s:b}", "result", "accepted", "revision",
                         (json_int_t)earlier->revision, "already_made", 1);
    }
    next =
        HrTablesEdit_Apply(daemon, daemon->tables, edit, 1700000000000, &err);
    if (next == NULL) {
        return json_pack("{s:s,s:s}", "result", "refused", "error",
                         err.message);
    }
    daemon->tables = next;
    daemon->applied_edit_count++;
    return json_pack("{s:s,s:I}", "result", "accepted", "revision",
                     (json_int_t)next->revision);
}

/* Applies and answers an edit, unless the test has set another behaviour. */
static void
handle_edit(FakeDaemon *daemon, uint64_t number, HrBytes body)
{
    HrError err = {0};
    HrTablesEdit *edit;
    json_t *reply;

    if (daemon->ignore_edits) {
        return;
    }
    if (daemon->edit_answer != NULL) {
        send_text(daemon, number, daemon->edit_answer_status,
                  daemon->edit_answer);
        return;
    }
    edit = HrTablesEdit_ParseJson(daemon, (const char *)body.data,
                                  body.length_bytes, "request", &err);
    if (edit == NULL) {
        send_json(daemon, number, 400,
                  json_pack("{s:s}", "error", err.message));
        return;
    }
    reply = apply_edit(daemon, edit);
    if (daemon->answer_next_edit_503) {
        daemon->answer_next_edit_503 = false;
        json_decref(reply);
        send_text(daemon, number, 503, "{\"error\":\"overloaded\"}");
        return;
    }
    send_json(daemon, number, 200, reply);
}

/* Answers GET /v1/config with the revision in force, which may still be the
 * old one. */
static void
send_revision(FakeDaemon *daemon, uint64_t number)
{
    if (daemon->polls_before_in_force > 0) {
        daemon->polls_before_in_force--;
    }
    else if (daemon->tables != NULL) {
        daemon->in_force = daemon->tables->revision;
    }
    send_json(daemon, number, 200,
              json_pack("{s:I}", "revision", (json_int_t)daemon->in_force));
}

/* Returns true if a request carries the operator token. */
static bool
has_token(HrHttpExchange *exchange)
{
    const char *value = HrHttpExchange_GetHeader(exchange, "Authorization");

    return value != NULL && strcmp(value, "Bearer " FAKE_TOKEN) == 0;
}

/* Records a request for the test and answers it by its path. */
static void
handle_request(void *arg, HrHttpExchange *exchange)
{
    FakeDaemon *daemon = arg;
    uint64_t number = HrHttpExchange_GetNumber(exchange);
    const char *path = HrHttpExchange_GetPath(exchange);
    HrBytes body = HrHttpExchange_GetBody(exchange);
    bool post = strcmp(HrHttpExchange_GetMethod(exchange), "POST") == 0;

    daemon->last_path = talloc_strdup(daemon, path);
    daemon->last_kind = talloc_strdup(
        daemon, HrHttpExchange_GetQueryParameter(exchange, "kind"));
    daemon->last_key = talloc_strdup(
        daemon, HrHttpExchange_GetQueryParameter(exchange, "key"));
    daemon->last_body =
        talloc_strndup(daemon, (const char *)body.data, body.length_bytes);
    if (strcmp(path, "/v1/query") != 0 && !has_token(exchange)) {
        send_text(daemon, number, 401, "{\"error\":\"token\"}");
    }
    else if (strncmp(path, "/v1/tables", 10) == 0 && post) {
        handle_edit(daemon, number, body);
    }
    else if (strcmp(path, "/v1/tables") == 0) {
        send_tables(daemon, number);
    }
    else if (strcmp(path, "/v1/members") == 0 &&
             daemon->members_answer != NULL) {
        send_text(daemon, number, 200, daemon->members_answer);
    }
    else if (strcmp(path, "/v1/config") == 0) {
        send_revision(daemon, number);
    }
    else if (strcmp(path, "/v1/burn") == 0) {
        send_text(daemon, number, 200, daemon->burn_answer);
    }
    else {
        send_text(daemon, number, 200, daemon->default_answer);
    }
}

/* Starts a simulated daemon whose listener runs on the loop. */
FakeDaemon *
FakeDaemon_Start(const void *parent, HrLoop *loop)
{
    FakeDaemon *daemon = talloc_zero(parent, FakeDaemon);
    HrHttpServerConfig config = {.listen = "127.0.0.1:0",
                                 .max_connections = 64,
                                 .max_header_bytes = 16384,
                                 .max_body_bytes = 4 << 20,
                                 .request_timeout_ms = 10000};
    HrError err = {0};

    daemon->server = HrHttpServer_Create(daemon, loop, &config, handle_request,
                                         daemon, &err);
    if (daemon->server == NULL) {
        fprintf(stderr, "%s\n", err.message);
        abort();
    }
    snprintf(daemon->address, sizeof(daemon->address), "127.0.0.1:%u",
             HrHttpServer_GetPort(daemon->server));
    daemon->default_answer = "{}";
    return daemon;
}

/* A pipe that collects one output stream of a child process. */
typedef struct ChildOutput {
    HrLoop *loop;
    HrLoopFd *watch;
    char *text;
    bool open;
} ChildOutput;

/* Appends output that the child has written; closes the pipe at its end. */
static void
read_output(void *arg, int fd, uint32_t events)
{
    ChildOutput *output = arg;
    char buffer[4096];
    ssize_t length = read(fd, buffer, sizeof(buffer) - 1);

    (void)events;
    if (length <= 0) {
        HrLoop_RemoveFd(output->loop, output->watch);
        close(fd);
        output->open = false;
        return;
    }
    buffer[length] = '\0';
    output->text = talloc_strdup_append_buffer(output->text, buffer);
}

/* Opens a pipe for one output stream and watches it on the loop. Returns the
 * write end, for the child. */
static int
open_output(const void *parent, HrLoop *loop, ChildOutput *output)
{
    int fds[2];

    if (pipe2(fds, O_CLOEXEC) != 0) {
        abort();
    }
    output->loop = loop;
    output->open = true;
    output->text = talloc_strdup(parent, "");
    output->watch =
        HrLoop_AddFd(loop, fds[0], HR_LOOP_READ, read_output, output);
    return fds[1];
}

/* Returns the path of hickoryctl, which is in the directory of the test
 * programs. */
static char *
find_program(const void *parent)
{
    char path[4096] = "";

    if (readlink("/proc/self/exe", path, sizeof(path) - 1) < 0) {
        abort();
    }
    return talloc_asprintf(parent, "%s/hickoryctl", dirname(path));
}

/* Runs hickoryctl with arguments, terminated by NULL, and runs the loop until
 * hickoryctl exits. */
TestCtlResult
TestCtl_RunProgram(const void *parent, HrLoop *loop,
                   const char *const *arguments)
{
    char *program = find_program(parent);
    char *argv[64] = {program};
    posix_spawn_file_actions_t actions;
    ChildOutput out, err;
    TestCtlResult run = {0};
    int out_fd = open_output(parent, loop, &out);
    int err_fd = open_output(parent, loop, &err);
    int i, wait_status;
    pid_t pid;

    for (i = 0; i < 62 && arguments[i] != NULL; i++) {
        argv[i + 1] = (char *)arguments[i];
    }
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, out_fd, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, err_fd, STDERR_FILENO);
    if (posix_spawn(&pid, program, &actions, NULL, argv, environ) != 0) {
        abort();
    }
    posix_spawn_file_actions_destroy(&actions);
    close(out_fd);
    close(err_fd);
    while (out.open || err.open) {
        HrLoop_RunOnce(loop, HR_NS_PER_S);
    }
    waitpid(pid, &wait_status, 0);
    run.status = WIFEXITED(wait_status) ? WEXITSTATUS(wait_status) : -1;
    run.out = out.text;
    run.err = err.text;
    return run;
}
