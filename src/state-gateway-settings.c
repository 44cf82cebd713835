#include "state-gateway-settings.h"

#include <jansson.h>
#include <math.h>
#include <string.h>
#include <talloc.h>

#include "state-address.h"

#define SECTION "gateway"

typedef enum FieldType {
    FIELD_TEXT,
    FIELD_ADDRESS,
    FIELD_OPTIONAL_ADDRESS,
    FIELD_ADDRESSES,
    FIELD_LEVEL,
    FIELD_COUNT,
    FIELD_NUMBER,
} FieldType;

/* Specification of a permitted field. */
typedef struct FieldSpec {
    const char *name;
    FieldType type;
    size_t offset;
    double min;
    double max;
    double fallback; /* default of a number; NAN: none, so that the field is
                        required unless its type is optional (see
                        is_required_field) */
} FieldSpec;

#define AT(member) offsetof(HrGatewaySettings, member)

static const FieldSpec fields[] = {
    {"name", FIELD_TEXT, AT(name), 0, 0, NAN},
    {"data_centre", FIELD_TEXT, AT(data_centre), 0, 0, NAN},
    {"region", FIELD_TEXT, AT(region), 0, 0, NAN},
    {"log_level", FIELD_LEVEL, AT(log_level), 0, 0, NAN},
    {"caller_listen", FIELD_ADDRESS, AT(caller_listen), 0, 0, NAN},
    {"readiness_listen", FIELD_ADDRESS, AT(readiness_listen), 0, 0, NAN},
    {"directory_listen", FIELD_ADDRESS, AT(directory_listen), 0, 0, NAN},
    {"control_listen", FIELD_ADDRESS, AT(control_listen), 0, 0, NAN},
    {"metrics_listen", FIELD_OPTIONAL_ADDRESS, AT(metrics_listen), 0, 0, NAN},
    {"peer_address", FIELD_ADDRESS, AT(peer_address), 0, 0, NAN},
    {"peer_seeds", FIELD_ADDRESSES, AT(peer_seeds), 0, 0, NAN},
    {"store_address", FIELD_ADDRESS, AT(store_address), 0, 0, NAN},
    {"max_connections", FIELD_COUNT, AT(max_connections), 64, 1000000, NAN},
    {"cpu_share", FIELD_NUMBER, AT(cpu_share), 0.001, 1024, 1},
    {"cpu_cores", FIELD_NUMBER, AT(cpu_cores), 0.001, 1024, 1},
    {"repeat_ratio", FIELD_NUMBER, AT(repeat_ratio), 0, 1, 0.1},
    {"repeat_slack", FIELD_NUMBER, AT(repeat_slack), 0, 1000000, 10},
    {"repeat_window_s", FIELD_NUMBER, AT(repeat_window_s), 0.1, 3600, 10},
    {"first_start", FIELD_COUNT, AT(first_start), 0, 1, 0},
    {"stop_grace_s", FIELD_NUMBER, AT(stop_grace_s), 0.1, 3600, 6},
    {"directory_keep_max_s", FIELD_NUMBER, AT(directory_keep_max_s), 0.01,
     3600, 5},
    {"lease_min_ms", FIELD_COUNT, AT(lease_min_ms), 1, 600000, 1000},
    {"memory_mb", FIELD_COUNT, AT(memory_mb), 16, 1048576, 256},
    {"revocation_timeout_ms", FIELD_COUNT, AT(revocation_timeout_ms), 100,
     3600000, 5000},
    {"strict_revocation", FIELD_COUNT, AT(strict_revocation), 0, 1, 0},
    {"quota_window_s", FIELD_NUMBER, AT(quota_window_s), 0.1, 3600, 5},
    {"quota_overshoot", FIELD_NUMBER, AT(quota_overshoot), 0, 10, 0},
    {"quota_slack", FIELD_NUMBER, AT(quota_slack), 0, 1000000, 0},
    {"cold_overshoot", FIELD_NUMBER, AT(cold_overshoot), 1, 100, 1},
    {"cold_slack", FIELD_NUMBER, AT(cold_slack), 0, 1000000, 0},
    {"zone_cost", FIELD_NUMBER, AT(zone_cost), 0, 10, 0.35},
};

#define FIELD_SPEC_COUNT (sizeof(fields) / sizeof(fields[0]))

/* The settings file that is being loaded. */
typedef struct SettingsFile {
    HrGatewaySettings *settings;
    const char *path;
    HrError *err;
} SettingsFile;

/* Sets and returns the error for an invalid field; remedy is the value to
 * write instead. */
static int
report_invalid_field(const SettingsFile *file, int kind, const FieldSpec *spec,
                     const char *remedy)
{
    return HrError_Set(file->err, kind, "%s: field " SECTION ".%s: write %s",
                       file->path, spec->name, remedy);
}

/* Validates and stores a string, which must be an address if is_address is
 * true. */
static int
store_text(const SettingsFile *file, const FieldSpec *spec,
           const json_t *value, bool is_address)
{
    const char *text = json_string_value(value);
    HrSockAddress address;
    char **member = (char **)((char *)file->settings + spec->offset);

    if (text == NULL || text[0] == '\0') {
        return report_invalid_field(file, HR_ERR_INVALID, spec,
                                    "a non-empty string");
    }
    if (is_address && HrSockAddress_Parse(text, &address) != HR_OK) {
        return report_invalid_field(file, HR_ERR_INVALID, spec,
                                    "a numeric IP address and a port");
    }
    *member = talloc_strdup(file->settings, text);
    return *member != NULL ? HR_OK : HR_ERR_NO_MEMORY;
}

/* Validates and stores the list of the seeds' addresses. */
static int
store_addresses(const SettingsFile *file, const FieldSpec *spec,
                const json_t *value)
{
    HrGatewaySettings *settings = file->settings;
    size_t count = json_array_size(value), i;

    if (!json_is_array(value)) {
        return report_invalid_field(file, HR_ERR_INVALID, spec,
                                    "a list of addresses");
    }
    settings->peer_seeds =
        talloc_zero_array(settings, const char *, count + 1);
    for (i = 0; settings->peer_seeds != NULL && i < count; i++) {
        const char *text = json_string_value(json_array_get(value, i));
        HrSockAddress address;

        if (text == NULL || HrSockAddress_Parse(text, &address) != HR_OK) {
            return report_invalid_field(file, HR_ERR_INVALID, spec,
                                        "numeric IP addresses with a port");
        }
        settings->peer_seeds[i] = talloc_strdup(settings, text);
    }
    settings->peer_seed_count = (uint32_t)count;
    return settings->peer_seeds != NULL ? HR_OK : HR_ERR_NO_MEMORY;
}

/* Validates and stores a number, which must be within the bounds of its field.
 */
static int
store_number(const SettingsFile *file, const FieldSpec *spec,
             const json_t *value)
{
    void *member = (char *)file->settings + spec->offset;
    double number = json_number_value(value);
    char remedy[80];

    snprintf(remedy, sizeof(remedy), "a%s number from %g to %g",
             spec->type == FIELD_COUNT ? " whole" : "", spec->min, spec->max);
    if (!json_is_number(value) ||
        (spec->type == FIELD_COUNT && number != floor(number))) {
        return report_invalid_field(file, HR_ERR_INVALID, spec, remedy);
    }
    if (number < spec->min || number > spec->max) {
        return report_invalid_field(file, HR_ERR_RANGE, spec, remedy);
    }
    if (spec->type == FIELD_COUNT) {
        *(uint32_t *)member = (uint32_t)number;
    }
    else {
        *(double *)member = number;
    }
    return HR_OK;
}

/* Returns true if a field is required. */
static bool
is_required_field(const FieldSpec *spec)
{
    return spec->type != FIELD_OPTIONAL_ADDRESS && spec->type != FIELD_LEVEL &&
           isnan(spec->fallback);
}

/* Sets the optional fields to their defaults. */
static void
apply_defaults(HrGatewaySettings *settings)
{
    size_t i;

    settings->log_level = HR_LOG_INFO;
    for (i = 0; i < FIELD_SPEC_COUNT; i++) {
        void *member = (char *)settings + fields[i].offset;

        if (isnan(fields[i].fallback)) {
            continue;
        }
        if (fields[i].type == FIELD_COUNT) {
            *(uint32_t *)member = (uint32_t)fields[i].fallback;
        }
        else {
            *(double *)member = fields[i].fallback;
        }
    }
}

/* Validates and stores one field. */
static int
store_field(const SettingsFile *file, const FieldSpec *spec,
            const json_t *value)
{
    const char *text = json_string_value(value);

    switch (spec->type) {
    case FIELD_TEXT:
        return store_text(file, spec, value, false);
    case FIELD_ADDRESS:
    case FIELD_OPTIONAL_ADDRESS:
        return store_text(file, spec, value, true);
    case FIELD_ADDRESSES:
        return store_addresses(file, spec, value);
    case FIELD_LEVEL:
        if (text == NULL ||
            HrLog_ParseLevel(text, &file->settings->log_level) != HR_OK) {
            return report_invalid_field(
                file, HR_ERR_INVALID, spec,
                "\"debug\", \"info\", \"warn\" or \"error\"");
        }
        return HR_OK;
    case FIELD_COUNT:
    case FIELD_NUMBER:
        return store_number(file, spec, value);
    }
    return HR_ERR_INVALID;
}

/* Returns the specification of a field, or NULL if the field is unknown. */
static const FieldSpec *
find_field(const char *name)
{
    size_t i;

    for (i = 0; i < FIELD_SPEC_COUNT; i++) {
        if (strcmp(fields[i].name, name) == 0) {
            return &fields[i];
        }
    }
    return NULL;
}

/* Validates and stores the fields of the section, and checks that no required
 * one is missing. */
static int
store_section(const SettingsFile *file, json_t *section)
{
    const char *name;
    json_t *value;
    size_t i;

    json_object_foreach(section, name, value)
    {
        const FieldSpec *spec = find_field(name);
        int rc = spec != NULL ? store_field(file, spec, value)
                              : HR_ERR_UNKNOWN_FIELD;

        if (spec == NULL) {
            HrError_Set(file->err, rc,
                        "%s: field " SECTION ".%.64s is not known: remove it, "
                        "or correct its spelling (see hickoryrouterd(8))",
                        file->path, name);
        }
        if (rc != HR_OK) {
            return rc;
        }
    }
    for (i = 0; i < FIELD_SPEC_COUNT; i++) {
        if (is_required_field(&fields[i]) &&
            json_object_get(section, fields[i].name) == NULL) {
            return HrError_Set(file->err, HR_ERR_INVALID,
                               "%s: field " SECTION
                               ".%s is missing: add it (see "
                               "hickoryrouterd(8))",
                               file->path, fields[i].name);
        }
    }
    return HR_OK;
}

/* Returns true if a file holds settings of a gateway. */
bool
HrGatewaySettings_IsGatewayFile(const char *path)
{
    json_t *root = json_load_file(path, 0, NULL);
    bool found = json_object_get(root, SECTION) != NULL;

    json_decref(root);
    return found;
}

/* Reads and validates a settings file. */
HrGatewaySettings *
HrGatewaySettings_Load(const void *parent, const char *path, HrError *err)
{
    json_error_t json_err;
    json_t *root = json_load_file(path, JSON_REJECT_DUPLICATES, &json_err);
    json_t *section = json_object_get(root, SECTION);
    SettingsFile file = {.path = path, .err = err};
    int rc;

    if (root == NULL) {
        HrError_Set(err, HR_ERR_INVALID,
                    "%s:%d:%d: %s: correct the JSON syntax", path,
                    json_err.line, json_err.column, json_err.text);
        return NULL;
    }
    file.settings = talloc_zero(parent, HrGatewaySettings);
    if (file.settings == NULL) {
        rc = HrError_Set(err, HR_ERR_NO_MEMORY, "%s: out of memory", path);
    }
    else if (!json_is_object(section) || json_object_size(root) != 1) {
        rc = HrError_Set(err, HR_ERR_INVALID,
                         "%s: write one object with the field " SECTION, path);
    }
    else {
        apply_defaults(file.settings);
        rc = store_section(&file, section);
    }
    json_decref(root);
    if (rc != HR_OK) {
        talloc_free(file.settings);
        return NULL;
    }
    return file.settings;
}

/* Returns true if the daemon is one of the seeds. */
bool
HrGatewaySettings_IsSeed(const HrGatewaySettings *settings)
{
    uint32_t i;

    for (i = 0; i < settings->peer_seed_count; i++) {
        if (strcmp(settings->peer_seeds[i], settings->control_listen) == 0) {
            return true;
        }
    }
    return false;
}
