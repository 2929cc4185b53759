Feature: A bad request is refused with a typed error that names the remedy

  Scenario Outline: One bad request
    Given an instance with one engine
    When a caller sends <request>
    Then the answer is <status> of type <kind>
    And it says that the work was not run
    And it names a remedy
    And no engine has run anything

    Examples:
      | request                | status | kind              |
      | an unknown model       | 404    | unknown_model     |
      | no model               | 400    | bad_request       |
      | no JSON                | 400    | bad_request       |
      | a JSON list            | 400    | bad_request       |
      | no prompt              | 400    | bad_request       |
      | an empty prompt        | 400    | bad_request       |
      | messages of texts      | 400    | bad_request       |
      | too many tokens        | 400    | bad_request       |
      | tokens as text         | 400    | bad_request       |
      | an over-long prompt    | 400    | prompt_too_long   |
      | a wrong method         | 405    | wrong_method      |
      | an unknown path        | 404    | not_found         |
      | no key                 | 401    | unauthorized      |
      | a wrong key            | 401    | unauthorized      |
      | a client's key to admin| 403    | forbidden         |
      | an over-large body     | 413    | too_large         |
      | a huge header          | 431    | headers_too_large |
      | broken HTTP            | 400    | bad_request       |

  Scenario Outline: One bad job
    Given an instance with one engine
    When a caller submits <job>
    Then the answer is <status> of type <kind>
    And it says that the work was not run
    And it names a remedy
    And the message has "<words>"
    And the account has no job

    Examples:
      | job                  | status | kind            | words            |
      | nothing              | 400    | bad_request     | no items         |
      | a doubled custom id  | 400    | bad_request     | Line 2           |
      | malformed line 3     | 400    | bad_request     | Line 3           |
      | an over-size item    | 400    | bad_request     | Line 1           |
      | an unknown model     | 404    | unknown_model   | Line 1           |
      | two models           | 400    | bad_request     | Line 2           |
      | an unknown url       | 400    | bad_request     | Line 1           |
      | an over-long prompt  | 400    | prompt_too_long | Line 1           |
      | a bad window         | 400    | bad_request     | completion_window|
