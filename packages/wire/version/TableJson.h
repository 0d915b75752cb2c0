/// \file
/// JSON form of the table, the catalogue and the assignment, as stored in the
/// platform's service, sent between boxes and shown to operators.
#ifndef HAVENSTAIR_WIRE_VERSION_TABLEJSON_H
#define HAVENSTAIR_WIRE_VERSION_TABLEJSON_H

#include "decisions/version/Assignment.h"
#include "decisions/version/Table.h"
#include "wire/common/Json.h"

namespace havenstair {

Json toJson(const GroupRow &Row);
/// \throws DecodeError naming the field that is wrong.
GroupRow groupRowFromJson(const Json &From);

Json toJson(const Catalogue &Models);
Catalogue catalogueFromJson(const Json &From);

Json toJson(const Assignment &Document);
Assignment assignmentFromJson(const Json &From);

} // namespace havenstair

#endif
