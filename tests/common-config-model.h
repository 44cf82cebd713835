#ifndef HR_COMMON_CONFIG_MODEL_H
#define HR_COMMON_CONFIG_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include "base-rng.h"
#include "state-tables-edit.h"
#include "state-tables.h"

/* A naive version of the tables: MODEL_ROWS routes and pools, each with one
 * number. Route i needs pool i. Edits are applied row by row without sharing
 * any code with the tables. */

#define MODEL_ROWS 3
#define MODEL_ABSENT (-1)
#define MODEL_KEEP (-2)

typedef struct ModelRow {
    int value; /* MODEL_ABSENT when it does not exist */
    uint64_t revision;
} ModelRow;

typedef struct Model {
    uint64_t revision;
    ModelRow rows[2][MODEL_ROWS]; /* routes, pools */
} Model;

/* An edit of the model. */
typedef struct ModelEdit {
    char id[24];
    char operator_name[16];
    uint64_t based_on;
    bool replace;
    int values[2][MODEL_ROWS]; /* MODEL_KEEP, MODEL_ABSENT or a value */
} ModelEdit;

/* Empties the model. */
void Model_Init(Model *model);

/* Returns true if the edit is valid for the model, with the outcome in out. */
bool Model_Apply(const Model *model, const ModelEdit *edit, Model *out);

/* Returns true if a row that the edit touches is newer than its base. */
bool Model_Conflicts(const Model *model, const ModelEdit *edit);

/* Returns true if tables have exactly the rows of the model. */
bool Model_Matches(const Model *model, const HrTables *tables);

/* Makes a random edit, mostly a valid one. */
void ModelEdit_Random(ModelEdit *edit, HrRng *rng);

/* Returns the edit of the tables that the model's edit stands for. */
HrTablesEdit *ModelEdit_ToTables(const void *parent, const ModelEdit *edit);

#endif
