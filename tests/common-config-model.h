#ifndef HR_COMMON_CONFIG_MODEL_H
#define HR_COMMON_CONFIG_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include "base-rng.h"
#include "state-tables-edit.h"
#include "state-tables.h"

/* A reference model of the tables: MODEL_ROWS routes and as many pools, each
 * with one number. Route i refers to pool i. Edits are applied row by row,
 * without any code of the tables. */

#define MODEL_ROWS 3
#define MODEL_ABSENT (-1)
#define MODEL_UNCHANGED (-2)

typedef struct ModelRow {
    int value; /* MODEL_ABSENT if the row does not exist */
    uint64_t revision;
} ModelRow;

typedef struct Model {
    uint64_t revision;
    ModelRow rows[2][MODEL_ROWS]; /* first index: HR_TABLE_ROUTES or
                                   * HR_TABLE_POOLS */
} Model;

/* An edit of the model. */
typedef struct ModelEdit {
    char id[24];
    char operator_name[16];
    uint64_t based_on;
    bool replace;
    int values[2][MODEL_ROWS]; /* MODEL_UNCHANGED, MODEL_ABSENT or a value */
} ModelEdit;

/* Removes all rows and sets the revision to 0. */
void Model_Init(Model *model);

/* Applies an edit to a copy of the model in out. Returns false if the edit is
 * not valid; out is then undefined. */
bool Model_Apply(const Model *model, const ModelEdit *edit, Model *out);

/* Returns true if the edit changes a row whose revision is later than the
 * edit's based_on. An edit that replaces the tables changes every row. */
bool Model_Conflicts(const Model *model, const ModelEdit *edit);

/* Returns true if the revision and all rows of tables equal those of the
 * model. */
bool Model_Matches(const Model *model, const HrTables *tables);

/* Fills in random changes, which are mostly valid. */
void ModelEdit_FillRandom(ModelEdit *edit, HrRng *rng);

/* Converts an edit of the model to the equivalent edit of the tables, as a
 * talloc child of parent. */
HrTablesEdit *ModelEdit_ToTablesEdit(const void *parent,
                                     const ModelEdit *edit);

#endif
