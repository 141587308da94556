/*
 * A wrapper that gives a plain value a distinct type.
 */
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace wasabispread {

/** A value of type Representation that neither converts to nor compares with a
    StrongType of another Tag. */
template<class Tag, class Representation>
class StrongType
{
public:
  using ValueType = Representation;

  constexpr StrongType() = default;

  constexpr explicit StrongType(Representation aValue)
    : mValue(std::move(aValue))
  {
  }

  /** The wrapped value. */
  constexpr const Representation& Value() const { return mValue; }

  friend constexpr auto operator<=>(const StrongType&,
                                    const StrongType&) = default;

private:
  Representation mValue{};
};

} // namespace wasabispread

/** Hashes a strong type like its wrapped value. */
template<class Tag, class Representation>
struct std::hash<wasabispread::StrongType<Tag, Representation>>
{
  std::size_t operator()(
    const wasabispread::StrongType<Tag, Representation>& aValue) const noexcept
  {
    return std::hash<Representation>{}(aValue.Value());
  }
};
