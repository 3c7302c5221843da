/// Customers and the keys that their callers send.
///
/// A key is a secret: it is compared, never told. Findings and logs name
/// customers only.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjoramtally {

/// One customer of the configuration.
struct Customer
{
  CustomerId name_;
  /// Goes before a route's own; 0 is the highest.
  std::optional<std::uint32_t> priority_;
  std::vector<std::string> keys_;
};

/// @returns what is wrong with the customers of a configuration, each with the
/// customer's name: an empty key, one key of two customers, a name twice
[[nodiscard]] std::vector<std::string>
CheckCustomers(const std::vector<Customer>& aCustomers);

/// The customers in force, found by key in constant time.
class CustomerTable
{
public:
  CustomerTable() = default;
  /// @param aCustomers without findings
  explicit CustomerTable(std::vector<Customer> aCustomers);

  /// @returns the customer that holds a key, or nullptr
  [[nodiscard]] const Customer* Find(const std::string& aKey) const;
  [[nodiscard]] const std::vector<Customer>& All() const noexcept
  {
    return customers_;
  }

private:
  std::vector<Customer> customers_;
  /// Positions of customers by key.
  std::unordered_map<std::string, std::size_t> byKey_;
};

/// What a request's key allows.
enum class KeyVerdict
{
  /// The request may go on.
  Granted,
  /// No customer holds the key.
  Refused,
  /// What is known here is too old to tell.
  Uncertain,
};

/// A judgement on a request's key.
struct KeyCheck
{
  KeyVerdict verdict_ = KeyVerdict::Refused;
  /// Of a granted request; empty: no key was needed and none is known.
  CustomerId customer_;
};

/// How old the configuration may be for a judgement.
struct KeyBounds
{
  /// With older knowledge an unknown key may have been added meanwhile.
  Duration unknown_ = std::chrono::seconds(2);
  /// With older knowledge a known key may have been revoked long ago.
  Duration known_ = std::chrono::seconds(7);
};

/// @returns the key of an `Authorization` field of the scheme `Bearer`; empty
/// if it is none
[[nodiscard]] std::string_view
BearerKey(std::string_view aAuthorization) noexcept;

/// @param aPublic the request needs no key
/// @param aAge how old the knowledge of the customers is
[[nodiscard]] KeyCheck
CheckKey(const CustomerTable& aCustomers,
         std::string_view aAuthorization,
         bool aPublic,
         Duration aAge,
         const KeyBounds& aBounds);

} // namespace marjoramtally
