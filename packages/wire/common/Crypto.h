/// \file
/// Hashes, message authentication codes and random bytes, by OpenSSL.
#ifndef HAVENSTAIR_WIRE_COMMON_CRYPTO_H
#define HAVENSTAIR_WIRE_COMMON_CRYPTO_H

#include <string>
#include <string_view>

namespace havenstair {

/// Returns the SHA-256 of \p Text in lower-case hex.
std::string sha256Hex(std::string_view Text);

/// Returns the HMAC-SHA-256 of \p Text under \p Secret in lower-case hex.
std::string hmacHex(std::string_view Secret, std::string_view Text);

/// Hashes texts, such as the secrets of callers, under a random secret of its
/// own, so that hashes can be compared only with those of the same object.
class SecretHasher {
public:
  /// \throws std::runtime_error when no random bytes are available.
  SecretHasher();

  /// Returns the HMAC-SHA-256 of \p Text, 32 raw bytes.
  std::string operator()(std::string_view Text) const;

private:
  std::string m_Secret;
};

/// Returns \p Bytes random bytes in hex. \throws std::runtime_error when none
/// are available.
std::string randomHex(std::size_t Bytes);

/// Compares two texts in a time that depends on their lengths only.
bool equalConstantTime(std::string_view A, std::string_view B);

/// Returns a new UUIDv7 (RFC 9562) with the timestamp \p UnixMillis.
std::string makeUuidV7(long long UnixMillis);

} // namespace havenstair

#endif
