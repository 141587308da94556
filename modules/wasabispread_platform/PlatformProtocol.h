/*
 * Requests to the platform and what its responses mean.
 */
#pragma once

#include <wasabispread_wire/wasabispread_wire.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wasabispread {

/** The key that holds the configuration in force. */
inline constexpr std::string_view kConfigurationKey = "wasabispread/config";

/** The most bytes that the store takes in one value. */
inline constexpr std::size_t kMaxValueBytes = 1U << 20U;

/** A value in the store; version 0 with no value when the key is absent. */
struct StoreValue
{
  std::uint64_t mVersion = 0;
  std::optional<std::string> mValue;
};

/** GET of a key. */
HttpRequest
FormatStoreRead(std::string_view aKey);

/** GET of a key that returns once its version exceeds aAfterVersion, or after
    aWait. */
HttpRequest
FormatStoreWatch(std::string_view aKey,
                 std::uint64_t aAfterVersion,
                 Duration aWait);

/** PUT of a key, taken only if its version is aExpected (0: absent). */
HttpRequest
FormatStoreSwap(std::string_view aKey,
                std::uint64_t aExpected,
                std::string aValue);

/** PUT of a claim that the store forgets after its lifetime. */
HttpRequest
FormatClaimSwap(const SwapClaim& aSwap);

/** The stored form of a claim. */
std::string
EncodeClaim(const ClaimRecord& aRecord);

/** Reads the stored form of a claim. */
Result<ClaimRecord>
DecodeClaim(const std::string& aValue);

/** Reads a read's response down to the claim in it. */
Result<StoredClaim>
ParseStoredClaim(const HttpResponse& aResponse);

/** Reads the response to a read or a watch. */
Result<StoreValue>
ParseStoreValue(const HttpResponse& aResponse);

/** The version written, or kConflict when another write came first. */
Result<std::uint64_t>
ParseStoreSwap(const HttpResponse& aResponse);

/** GET of the VM list. */
HttpRequest
FormatVmListRead();

/** Reads the response to a read of the VM list. */
Result<std::vector<VmRecord>>
ParseVmList(const HttpResponse& aResponse);

/** Reads a watch's response down to the configuration in it. */
Result<StoredConfiguration>
ParseStoredConfiguration(const HttpResponse& aResponse);

} // namespace wasabispread
