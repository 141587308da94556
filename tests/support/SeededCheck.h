/*
 * Checks RapidCheck properties with a fixed seed, so that each run draws the
 * same values and gives the same result.
 */
#pragma once

#include <cstdint>
#include <iostream>
#include <string>

#include <rapidcheck.h>

namespace wasabispread::testing {

/** Checks a property with aCases generated cases and returns whether it held in
    all of them. Prints the seed and, on failure, the generated values. */
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
