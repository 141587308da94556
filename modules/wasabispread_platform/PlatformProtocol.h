/*
 * Formats requests to the platform and parses its responses.
 */
#pragma once

#include <wasabispread_wire/wasabispread_wire.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wasabispread {

/** The store key of the configuration in force. */
inline constexpr std::string_view kConfigurationKey = "wasabispread/config";

/** The largest value that the store accepts, in bytes. */
inline constexpr std::size_t kMaxValueBytes = 1U << 20U;

/** A value in the store. When the key is absent, the version is 0 and there is
    no value. */
struct StoreValue
{
  std::uint64_t mVersion = 0;
  std::optional<std::string> mValue;
};

/** Formats a GET of a key. */
HttpRequest
FormatStoreRead(std::string_view aKey);

/** Formats a GET of a key that the store answers as soon as the key's version
    exceeds aAfterVersion, or after aWait. */
HttpRequest
FormatStoreWatch(std::string_view aKey,
                 std::uint64_t aAfterVersion,
                 Duration aWait);

/** Formats a PUT of a key that takes effect only if the key's version is
    aExpected; 0 means that the key is absent. */
HttpRequest
FormatStoreSwap(std::string_view aKey,
                std::uint64_t aExpected,
                std::string aValue);

/** Formats a PUT of a claim, which the store deletes after its lifetime. */
HttpRequest
FormatClaimSwap(const SwapClaim& aSwap);

/** Encodes a claim for the store. */
std::string
EncodeClaim(const ClaimRecord& aRecord);

/** Decodes a stored claim. A status that this release does not know becomes
    ClaimStatus::kUnknown. */
Result<ClaimRecord>
DecodeClaim(const std::string& aValue);

/** Parses the response to a read of a claim and decodes the claim. */
Result<StoredClaim>
ParseStoredClaim(const HttpResponse& aResponse);

/** Parses the response to a read or a watch; kPlatformUnavailable when it is
    not as expected. */
Result<StoreValue>
ParseStoreValue(const HttpResponse& aResponse);

/** Parses the response to a PUT: the version written; kConflict when the key
    had another version than expected; kValueTooLarge when the store does not
    accept a value of this size. */
Result<std::uint64_t>
ParseStoreSwap(const HttpResponse& aResponse);

/** Formats a GET of the VM list. */
HttpRequest
FormatVmListRead();

/** Parses the response to a read of the VM list. */
Result<std::vector<VmRecord>>
ParseVmList(const HttpResponse& aResponse);

/** Parses the response to a read or a watch of the configuration and decodes
    the configuration. */
Result<StoredConfiguration>
ParseStoredConfiguration(const HttpResponse& aResponse);

} // namespace wasabispread
