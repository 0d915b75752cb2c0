/// \file
/// Fuzz target for the decoders of documents of the platform, of operators and
/// of engines. The first byte of the input selects the decoder.
#include "platform/OperatorConfig.h"
#include "platform/UpstreamEntry.h"
#include "wire/common/Json.h"
#include "wire/process/EngineClient.h"
#include "wire/version/TableCsv.h"
#include "wire/version/TableJson.h"

#include <cstdint>

namespace {

using namespace havenstair;

void decodeAs(int Kind, std::string_view Text) {
  switch (Kind % 10) {
  case 0:
    tableToCsv(tableFromCsv(Text));
    return;
  case 1:
    groupRowFromJson(parseJson(Text));
    return;
  case 2:
    catalogueFromJson(parseJson(Text));
    return;
  case 3:
    assignmentFromJson(parseJson(Text));
    return;
  case 4:
    engineReportFromJson(parseJson(Text));
    return;
  case 5:
    orderJournalFromJson(parseJson(Text));
    return;
  case 6:
    engineOrderFromJson(parseJson(Text));
    return;
  case 7:
    platform::decodeUpstream("servers/i-1", std::string(Text));
    return;
  case 8:
    platform::decodeReport(std::string(Text));
    return;
  default:
    platform::decodeConfig(std::string(Text), SecretHasher());
  }
}

} // namespace

// libFuzzer prescribes the name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  if (Size == 0)
    return 0;
  try {
    decodeAs(Data[0], {reinterpret_cast<const char *>(Data) + 1, Size - 1});
  } catch (const havenstair::DecodeError &) {
    return 0;
  }
  return 0;
}
