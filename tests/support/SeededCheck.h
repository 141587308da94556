/*
 * Properties checked from a fixed seed, so that a verdict repeats.
 */
#pragma once

#include <cstdint>
#include <iostream>
#include <string>

#include <rapidcheck.h>

namespace wasabispread::testing {

/** Checks a property in so many cases; whether it held. Prints the seed and,
    when it fails, the values drawn. */
template<class Property>
bool
SeededCheck(const std::string& aDescription,
            std::uint64_t aSeed,
            int aCases,
            Property&& aProperty)
{
  rc::detail::TestMetadata metadata;
  metadata.id = aDescription;
  metadata.description = aDescription;
  rc::detail::TestParams parameters;
  parameters.seed = aSeed;
  parameters.maxSuccess = aCases;
  const auto result = rc::detail::checkTestable(
    std::forward<Property>(aProperty), metadata, parameters);
  std::cerr << "- " << aDescription << ", seed " << aSeed << "\n";
  rc::detail::printResultMessage(result, std::cerr);
  std::cerr << "\n";
  return result.template is<rc::detail::SuccessResult>();
}

} // namespace wasabispread::testing
