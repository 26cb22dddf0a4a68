Feature: The command line starts
  Scenario: The version is printed
    When the command "--version" is run
    Then it exits with 0
    And it prints "kingcupwheel"
