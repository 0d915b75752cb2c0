#include "gateway/request/PassFields.h"

#include "wire/common/Crypto.h"
#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <system_error>

namespace havenstair {

namespace {

constexpr const char *FromField = "Havenstair-From";
constexpr const char *ConfigField = "Havenstair-Config";
constexpr const char *ProofField = "Havenstair-Proof";
constexpr const char *VerdictField = "Havenstair-Verdict";
constexpr const char *SoftwareField = "Havenstair-Software";
constexpr std::array<const char *, 5> AllFields{
    FromField, ConfigField, ProofField, VerdictField, SoftwareField};
constexpr std::array<std::string_view, 4> VerdictNames{"none", "declined",
                                                       "rejected", "refused"};

std::string proofOf(const std::string &Box, const std::string &Id,
                    const std::string &Secret) {
  return hmacHex(Secret, "pass\n" + Box + "\n" + Id);
}

} // namespace

HttpHeaders passFields(const PassedFrom &From, const std::string &Id,
                       const std::string &Secret) {
  return {{FromField, From.m_Box.str()},
          {ConfigField, std::to_string(From.m_Config)},
          {ProofField, proofOf(From.m_Box.str(), Id, Secret)}};
}

std::optional<PassedFrom> readPassFields(const HttpExchange &Exchange,
                                         const std::string &Id,
                                         const std::string &Secret) {
  const std::string Box = Exchange.header(FromField);
  const std::string Version = Exchange.header(ConfigField);
  const std::string Proof = Exchange.header(ProofField);
  ConfigVersion Config = 0;
  const char *End = Version.data() + Version.size();
  const auto Read = std::from_chars(Version.data(), End, Config);
  if (Box.empty() || Read.ec != std::errc() || Read.ptr != End ||
      !equalConstantTime(Proof, proofOf(Box, Id, Secret)))
    return std::nullopt;
  return PassedFrom{.m_Box = BoxName(Box), .m_Config = Config};
}

HttpHeaders withoutPassFields(HttpHeaders Headers) {
  std::erase_if(Headers, [](const HttpHeader &Header) {
    return std::any_of(
        AllFields.begin(), AllFields.end(),
        [&](const char *Name) { return sameFieldName(Header.m_Name, Name); });
  });
  return Headers;
}

HttpHeader softwareField(const SoftwareVersion &Software) {
  return {SoftwareField, Software.str()};
}

SoftwareVersion readSoftware(const HttpHeaders &Headers) {
  return softwareVersionOf(findHeader(Headers, SoftwareField));
}

PassVerdict verdictFor(ErrorKind Kind, bool WasSent) {
  switch (Kind) {
  case ErrorKind::Overloaded:
  case ErrorKind::NoResidentCopy:
  case ErrorKind::RequestQuarantined:
  case ErrorKind::RequestSuspected:
    return PassVerdict::Refused;
  default:
    return WasSent ? PassVerdict::Rejected : PassVerdict::Declined;
  }
}

HttpHeader verdictField(PassVerdict Verdict) {
  return {VerdictField,
          std::string(VerdictNames.at(static_cast<std::size_t>(Verdict)))};
}

PassVerdict readVerdict(const HttpHeaders &Headers) {
  const std::string Text = findHeader(Headers, VerdictField);
  const auto Found = std::find(VerdictNames.begin(), VerdictNames.end(), Text);
  return Found == VerdictNames.end()
             ? PassVerdict::None
             : static_cast<PassVerdict>(Found - VerdictNames.begin());
}

} // namespace havenstair
