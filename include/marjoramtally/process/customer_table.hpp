/// Customers and the API keys of their callers.
///
/// Keys are secrets: they are only compared. Findings and logs contain customer
/// names, never keys.
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

/// A customer as configured.
struct Customer
{
  CustomerId name_;
  /// Overrides the priority of the route; 0 is the highest.
  std::optional<std::uint32_t> priority_;
  std::vector<std::string> keys_;
};

/// Validates the customers of a configuration.
/// @returns one finding, with the customer's name, for each missing or
/// duplicate name, empty key, or key that two customers share
[[nodiscard]] std::vector<std::string>
CheckCustomers(const std::vector<Customer>& aCustomers);

/// The active customers, with constant-time lookup by key.
class CustomerTable
{
public:
  CustomerTable() = default;
  /// @param aCustomers customers for which `CheckCustomers` has no findings
  explicit CustomerTable(std::vector<Customer> aCustomers);

  /// @returns the customer that owns a key, or nullptr
  [[nodiscard]] const Customer* Find(const std::string& aKey) const;
  [[nodiscard]] const std::vector<Customer>& All() const noexcept
  {
    return customers_;
  }

private:
  std::vector<Customer> customers_;
  /// Indexes into `customers_` by key.
  std::unordered_map<std::string, std::size_t> byKey_;
};

/// Whether a request's key grants access.
enum class KeyVerdict
{
  /// The request may proceed.
  Granted,
  /// No customer owns the key.
  Refused,
  /// The local configuration is too old to decide.
  Uncertain,
};

/// Result of checking a request's key.
struct KeyCheck
{
  KeyVerdict verdict_ = KeyVerdict::Refused;
  /// The owner of the key; empty if the key is unknown or missing.
  CustomerId customer_;
};

/// Maximum age of the configuration for a decision.
struct KeyBounds
{
  /// Age up to which an unknown key is refused. With an older configuration the
  /// key may have been added in the meantime.
  Duration unknown_ = std::chrono::seconds(2);
  /// Age up to which a known key is granted. With an older configuration the
  /// key may have been revoked long ago.
  Duration known_ = std::chrono::seconds(7);
};

/// @returns the key in an `Authorization` field of the scheme `Bearer`; empty
/// for any other value
[[nodiscard]] std::string_view
BearerKey(std::string_view aAuthorization) noexcept;

/// Checks the key in a request's `Authorization` field.
/// @param aPublic whether the request needs no key
/// @param aAge age of the configuration of customers
[[nodiscard]] KeyCheck
CheckKey(const CustomerTable& aCustomers,
         std::string_view aAuthorization,
         bool aPublic,
         Duration aAge,
         const KeyBounds& aBounds);

} // namespace marjoramtally
