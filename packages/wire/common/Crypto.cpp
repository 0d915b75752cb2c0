#include "wire/common/Crypto.h"

#include <array>
#include <cstdio>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <stdexcept>
#include <vector>

namespace havenstair {

namespace {

std::string toHex(const unsigned char *Bytes, std::size_t Count) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(Count * 2);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Text.push_back(Digits[Bytes[Index] >> 4]);
    Text.push_back(Digits[Bytes[Index] & 15]);
  }
  return Text;
}

const unsigned char *asBytes(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

std::string hmac(std::string_view Secret, std::string_view Text) {
  std::string Hash(EVP_MAX_MD_SIZE, '\0');
  unsigned int Length = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       asBytes(Text), Text.size(),
       reinterpret_cast<unsigned char *>(Hash.data()), &Length);
  Hash.resize(Length);
  return Hash;
}

} // namespace

std::string sha256Hex(std::string_view Text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Hash{};
  SHA256(asBytes(Text), Text.size(), Hash.data());
  return toHex(Hash.data(), Hash.size());
}

std::string hmacHex(std::string_view Secret, std::string_view Text) {
  const std::string Hash = hmac(Secret, Text);
  return toHex(asBytes(Hash), Hash.size());
}

SecretHasher::SecretHasher() : m_Secret(randomHex(SHA256_DIGEST_LENGTH)) {}

std::string SecretHasher::operator()(std::string_view Text) const {
  return hmac(m_Secret, Text);
}

std::string randomHex(std::size_t Bytes) {
  std::vector<unsigned char> Buffer(Bytes);
  if (RAND_bytes(Buffer.data(), static_cast<int>(Bytes)) != 1)
    throw std::runtime_error("cannot obtain random bytes");
  return toHex(Buffer.data(), Bytes);
}

bool equalConstantTime(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

std::string makeUuidV7(long long UnixMillis) {
  std::array<char, 16> Time{};
  std::snprintf(Time.data(), Time.size(), "%012llx", UnixMillis);
  const std::string Stamp(Time.data(), 12);
  const std::string Random = randomHex(10);
  return Stamp.substr(0, 8) + "-" + Stamp.substr(8, 4) + "-7" +
         Random.substr(0, 3) + "-8" + Random.substr(3, 3) + "-" +
         Random.substr(6, 12);
}

} // namespace havenstair
